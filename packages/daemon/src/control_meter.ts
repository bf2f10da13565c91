/** Metrics of the control plane. */

import type {CoordinationEvent} from '@cassiaknot/coordination';
import type {TransportMeter} from '@cassiaknot/peer-protocol';
import type {PeerMessage} from '@cassiaknot/peer-protocol';
import {Counter} from 'prom-client';
import type {Registry} from 'prom-client';
import type {StoreCallObserver, StoreOperation} from '@cassiaknot/store';
import {registerGauge} from './register_gauge.js';

/** Values that are sampled on each scrape. */
export interface ControlGauges {
  getVersion(): number;
  getLiveMemberCount(): number;
  getWaitingCount(): number;
  getRunningCount(): number;
  /** Current limit on store calls for claims, per second. */
  getClaimRate(): number;
}

/** Records control plane traffic and events. */
export class ControlMeter implements TransportMeter {
  private readonly events;
  private readonly bytes;
  private readonly messages;
  private readonly storeCalls;
  private readonly throttledStoreCalls;
  private readonly targetEnds;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.events = new Counter({
      name: 'cassiaknot_control_events_total',
      help: 'Events of the control plane',
      labelNames: ['event'],
      registers,
    });
    this.bytes = new Counter({
      name: 'cassiaknot_peer_bytes_total',
      help: 'Bytes of messages between daemons',
      labelNames: ['direction', 'kind'],
      registers,
    });
    this.messages = new Counter({
      name: 'cassiaknot_peer_messages_total',
      help: 'Messages between daemons',
      labelNames: ['direction', 'kind'],
      registers,
    });
    this.storeCalls = new Counter({
      name: 'cassiaknot_store_calls_total',
      help: 'Calls sent to the store',
      labelNames: ['user', 'operation'],
      registers,
    });
    this.throttledStoreCalls = new Counter({
      name: 'cassiaknot_store_calls_refused_total',
      help: 'Calls to the store that the own limit refused',
      labelNames: ['user'],
      registers,
    });
    this.targetEnds = new Counter({
      name: 'cassiaknot_target_ends_total',
      help: 'Ends of the target beside this daemon',
      labelNames: ['reason'],
      registers,
    });
  }

  onSent(kind: PeerMessage['kind'], bytes: number): void {
    this.countMessage('sent', kind, bytes);
  }

  onReceived(kind: PeerMessage['kind'], bytes: number): void {
    this.countMessage('received', kind, bytes);
  }

  countEvent(event: CoordinationEvent): void {
    this.events.inc({event});
  }

  /** Returns an observer that counts the store calls of one user. */
  newStoreObserver(user: 'coordination' | 'claims'): StoreCallObserver {
    return {
      onCall: (operation: StoreOperation) =>
        this.storeCalls.inc({user, operation}),
      onRefused: () => this.throttledStoreCalls.inc({user}),
    };
  }

  /** Counts the end of a session with the local target. */
  countTargetEnd(reason: string): void {
    this.targetEnds.inc({reason});
  }

  registerGauges(gauges: ControlGauges): void {
    registerGauge(this.registry, 'cassiaknot_version', 'Version in force', () =>
      gauges.getVersion(),
    );
    registerGauge(
      this.registry,
      'cassiaknot_live_members',
      'Live members known',
      () => gauges.getLiveMemberCount(),
    );
    registerGauge(
      this.registry,
      'cassiaknot_gate_waiting',
      'Requests waiting',
      () => gauges.getWaitingCount(),
    );
    registerGauge(
      this.registry,
      'cassiaknot_claim_rate',
      'Claim calls/s allowed',
      () => gauges.getClaimRate(),
    );
    registerGauge(
      this.registry,
      'cassiaknot_gate_running',
      'Requests running',
      () => gauges.getRunningCount(),
    );
  }

  private countMessage(
    direction: 'sent' | 'received',
    kind: PeerMessage['kind'],
    bytes: number,
  ): void {
    this.bytes.inc({direction, kind}, bytes);
    this.messages.inc({direction, kind});
  }
}
