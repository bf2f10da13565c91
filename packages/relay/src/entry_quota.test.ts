import type {WorkspaceRecord} from '@cassiaknot/inventory';
import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {RelayEntry} from './entry.js';
import type {QuotaAdmission, QuotaGate, RoutePlan} from './entry_types.js';
import type {ReplyKind} from './testing/scripted_gates.js';
import {ScriptedGates, newEntry, newRequest} from './testing/scripted_gates.js';

const WORKSPACE = RECORD_SCHEMA.parse({
  kind: 'workspace',
  id: 'w',
  keyDigests: [],
  ratePerSecond: 10,
}) as WorkspaceRecord;

/** Gives a scripted admission and records what is released. */
class ScriptedQuotas implements QuotaGate {
  readonly released: number[] = [];

  constructor(private readonly admission: QuotaAdmission) {}

  acquire(): QuotaAdmission {
    return this.admission;
  }

  release(_workspace: WorkspaceRecord, permitExpiresAtMs: number): void {
    this.released.push(permitExpiresAtMs);
  }
}

/** An entry whose requests all come from one workspace. */
class WorkspaceEntry extends RelayEntry {
  protected override resolvePlan(
    ...args: Parameters<RelayEntry['resolvePlan']>
  ): RoutePlan | undefined {
    const plan = super.resolvePlan(...args);
    return plan && {...plan, workspace: WORKSPACE};
  }
}

async function newWorkspaceEntry(
  gates: ScriptedGates,
  quotaGate: QuotaGate,
): Promise<RelayEntry> {
  const {options} = await newEntry(gates, false);
  return new WorkspaceEntry({...options, quotaGate});
}

describe('Relay entry: quotas', () => {
  const PERMIT = {isAdmitted: true, permitExpiresAtMs: 7} as const;

  it('refuses a request over the quota without an offer or a share of the retry budget', async () => {
    const gates = new ScriptedGates([]);
    const quotas = new ScriptedQuotas({isAdmitted: false, retryAfterMs: 321});
    const entry = await newWorkspaceEntry(gates, quotas);
    const outcome = await entry.handle(newRequest());
    expect(outcome).to.deep.equal({
      kind: 'refused',
      reason: 'over-quota',
      retryAfterMs: 321,
    });
    expect(gates.offers).to.deep.equal([]);
  });

  // A request that was refused for another reason comes back and needs a permit again.
  it('gives back the permit only of a request that certainly did not run', async () => {
    const cases: ReadonlyArray<readonly [ReplyKind, readonly number[]]> = [
      ['quarantined', [7]],
      ['loss', []],
      ['failure', []],
      ['answer', []],
    ];
    for (const [reply, released] of cases) {
      const quotas = new ScriptedQuotas(PERMIT);
      const gates = new ScriptedGates([reply]);
      const entry = await newWorkspaceEntry(gates, quotas);
      await entry.handle(newRequest());
      expect(quotas.released, reply).to.deep.equal(released);
    }
  });
});
