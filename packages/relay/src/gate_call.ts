/** Requests as a gate keeps them. */

import type {
  Fingerprint,
  RelayFrameOf,
  RelayLink,
} from '@cassiaknot/peer-protocol';
import type {Job} from '@cassiaknot/routing';
import type {Holding} from './held_memory.js';
import type {LoggedCall} from './gate_log.js';
import type {RelayTargetSession} from './target_session.js';

/** An offer as it reached the gate. */
export interface ReceivedOffer {
  readonly link: RelayLink;
  readonly offer: RelayFrameOf<'offer'>;
  readonly session: RelayTargetSession | undefined;
  readonly transitMs: number;
}

/** Load that a gate reports with its replies. */
export type LoadFields = Pick<
  RelayFrameOf<'refusal'>,
  'waitMs' | 'runMs' | 'transitMs' | 'pace' | 'limit'
>;

/** A request offered by an entry that is queued or running. */
export interface Call extends LoggedCall {
  readonly link: RelayLink;
  readonly fingerprint: Fingerprint;
  readonly controller: AbortController;
  readonly job: Job;
  /** Memory of the body of a request that has one. */
  readonly bodyHolding: Holding | undefined;
  isRunning: boolean;
  isSettled: boolean;
}
