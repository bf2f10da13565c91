/**
 * Offers of one request over links that have fallen silent. Their targets may be
 * at work, so the offers stay pending while the request is retried elsewhere, and
 * the first answer wins.
 */

import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {GateLink, PendingCall} from './gate_link.js';
import type {RelayOutcome} from './outcome.js';

/** Converts the answer of a gate to the outcome of the request. */
type AnswerConverter = (
  link: GateLink,
  answer: RelayFrameOf<'answer'>,
) => RelayOutcome;

interface SilentCall {
  readonly link: GateLink;
  readonly call: PendingCall;
  /** Resolves when the call has any reply. */
  readonly settled: Promise<void>;
}

/** Pending offers over silent links. */
export class SilentCalls {
  /** Resolves with the first answer; stays pending without one. */
  readonly answer: Promise<RelayOutcome>;
  private readonly calls = new Set<SilentCall>();
  private resolveAnswer: (outcome: RelayOutcome) => void = () => undefined;

  constructor(private readonly convert: AnswerConverter) {
    this.answer = new Promise(resolve => {
      this.resolveAnswer = resolve;
    });
  }

  /** Adds an offer whose link has fallen silent. */
  add(link: GateLink, call: PendingCall): void {
    const silentCall: SilentCall = {
      link,
      call,
      settled: call.reply.then(reply => {
        this.calls.delete(silentCall);
        if (reply.kind !== 'answer') return;
        this.resolveAnswer(this.convert(link, reply));
      }),
    };
    this.calls.add(silentCall);
  }

  /** Whether any of the offers has no reply yet. */
  isPending(): boolean {
    return this.calls.size > 0;
  }

  /** Resolves when all of the offers have a reply. */
  async whenSettled(): Promise<void> {
    await Promise.all([...this.calls].map(({settled}) => settled));
  }

  /** Withdraws the offers without a reply. */
  cancelAll(): void {
    for (const {link, call} of this.calls) link.cancel(call.callId);
  }
}
