import {brandId} from '@cassiaknot/inventory';
import type {ServiceId} from '@cassiaknot/inventory';
import {expect} from 'chai';
import type {RelayObserver} from './observer.js';
import type {TargetAnnouncement} from './target_announcement.js';
import type {RelayTargetClient, TargetExchange} from './target_client.js';
import {LocalTarget} from './local_target.js';

const ADDRESS = '10.0.0.1:80';

const OBSERVER: RelayObserver = {
  log: () => undefined,
  count: () => undefined,
  measure: () => undefined,
};

class IdleClient implements RelayTargetClient {
  send(): Promise<TargetExchange> {
    return new Promise(() => undefined);
  }

  probe(): Promise<boolean> {
    return Promise.resolve(true);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  closeWhenIdle(): Promise<void> {
    return Promise.resolve();
  }
}

function newLocalTarget(
  isKnownService: (serviceId: ServiceId) => boolean = () => true,
): LocalTarget {
  return new LocalTarget({
    getAddress: () => ADDRESS,
    isKnownService,
    newClient: () => new IdleClient(),
    observer: OBSERVER,
    onTargetChange: () => undefined,
  });
}

function newAnnouncement(
  fields: Partial<TargetAnnouncement> = {},
): TargetAnnouncement {
  return {
    targetId: 'a',
    serviceId: brandId<ServiceId>('s'),
    address: ADDRESS,
    slots: 4,
    state: 'ready',
    coldMs: 0,
    sequence: 1,
    startedAtMs: 1_000,
    ...fields,
  };
}

describe('Local target', () => {
  it('ignores announcements that arrive out of order', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement({sequence: 5, slots: 4}));
    const outcome = target.announce(newAnnouncement({sequence: 4, slots: 9}));
    expect(outcome).to.equal('stale');
    expect(target.getSession()?.getLoad().slots).to.equal(4);
  });

  it('ignores an announcement from an earlier start at the same address', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement({targetId: 'b', startedAtMs: 2_000}));
    const outdated = newAnnouncement({startedAtMs: 1_000, sequence: 99});
    expect(target.announce(outdated)).to.equal('stale');
    const current = target.getSession()?.getAnnouncement();
    expect(current?.targetId).to.equal('b');
  });

  it('accepts a restarted target whose sequence numbers start again', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement({sequence: 50}));
    target.leave({targetId: 'a', startedAtMs: 1_000});
    const restarted = newAnnouncement({startedAtMs: 3_000, sequence: 1});
    expect(target.announce(restarted)).to.equal('new-target');
    expect(target.getSession()?.getState()).to.equal('open');
  });

  it('ignores an announcement for another address', () => {
    const target = newLocalTarget();
    const forged = newAnnouncement({address: '10.0.0.2:80'});
    expect(target.announce(forged)).to.equal('other-address');
    expect(target.getSession()).to.equal(undefined);
  });

  // Such an announcement of another writer displaced the sound target, whose own
  // ones then counted as older, for good.
  it('keeps its target when a service is announced that is not configured', () => {
    const target = newLocalTarget(serviceId => serviceId === 's');
    target.announce(newAnnouncement());
    const odd = newAnnouncement({
      targetId: 'odd',
      serviceId: brandId<ServiceId>('odd'),
      startedAtMs: 9_000,
    });
    expect(target.announce(odd)).to.equal('unknown-service');
    expect(target.getSession()?.getAnnouncement().targetId).to.equal('a');
    expect(target.announce(newAnnouncement({sequence: 2}))).to.equal('updated');
  });

  // An announcement of another writer with a later start displaced the sound target
  // for good, though that target refused all requests for the other id.
  it('returns to the target that refuses requests for the announced id', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement());
    target.announce(newAnnouncement({targetId: 'odd', startedAtMs: 9_000}));
    expect(target.announce(newAnnouncement({sequence: 2}))).to.equal('stale');
    target.getSession()?.markMisdirected();
    expect(target.getSession()?.getState()).to.equal('down');
    expect(target.announce(newAnnouncement({sequence: 3}))).to.equal(
      'new-target',
    );
    expect(target.getSession()?.getAnnouncement().targetId).to.equal('a');
  });

  it('never returns to a target that has left', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement());
    target.leave({targetId: 'a', startedAtMs: 1_000});
    target.announce(newAnnouncement({targetId: 'odd', startedAtMs: 9_000}));
    target.getSession()?.markMisdirected();
    const late = newAnnouncement({sequence: 2});
    expect(target.announce(late)).to.equal('has-left');
  });

  it('replaces a target whose service turns out not to be configured', () => {
    const configured = new Set<ServiceId>();
    const target = newLocalTarget(
      serviceId => configured.size === 0 || configured.has(serviceId),
    );
    const serviceId = brandId<ServiceId>('odd');
    target.announce(newAnnouncement({serviceId, startedAtMs: 9_000}));
    configured.add(brandId<ServiceId>('s'));
    expect(target.announce(newAnnouncement())).to.equal('new-target');
  });

  it('lets a target leave whose service is no longer configured', () => {
    const configured = new Set([brandId<ServiceId>('s')]);
    const target = newLocalTarget(id => configured.has(id));
    target.announce(newAnnouncement());
    configured.clear();
    const draining = newAnnouncement({sequence: 2, state: 'draining'});
    expect(target.announce(draining)).to.equal('draining');
  });

  it('never reopens a draining target', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement());
    target.announce(newAnnouncement({sequence: 2, state: 'draining'}));
    target.announce(newAnnouncement({sequence: 3}));
    expect(target.getSession()?.getState()).to.equal('draining');
  });

  it('drains the target only if the leave is from the same start', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement({startedAtMs: 2_000}));
    expect(target.leave({targetId: 'a', startedAtMs: 1_000})).to.equal(false);
    expect(target.getSession()?.getState()).to.equal('open');
    expect(target.leave({targetId: 'a', startedAtMs: undefined})).to.equal(
      true,
    );
    expect(target.getSession()?.getState()).to.equal('draining');
  });

  it('keeps the session of a probed target when it announces itself', () => {
    const target = newLocalTarget();
    const probed = newAnnouncement({
      sequence: Number.MIN_SAFE_INTEGER,
      startedAtMs: undefined,
    });
    target.announce(probed);
    const session = target.getSession();
    target.announce(newAnnouncement());
    expect(target.getSession()).to.equal(session);
    expect(session?.getAnnouncement().startedAtMs).to.equal(1_000);
  });

  it('reopens a target that was down when it announces itself', () => {
    const target = newLocalTarget();
    target.announce(newAnnouncement());
    target.getSession()?.markDown();
    expect(target.getSession()?.getState()).to.equal('down');
    target.announce(newAnnouncement({sequence: 2}));
    expect(target.getSession()?.getState()).to.equal('open');
  });
});
