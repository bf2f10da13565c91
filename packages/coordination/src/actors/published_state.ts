/**
 * Immutable snapshots that the actors publish and everybody may read without
 * waiting for a mailbox.
 */

import type {ConfigurationState, RouteTable} from '@cassiaknot/inventory';
import {EMPTY_STATE, compileRouteTable} from '@cassiaknot/inventory';
import type {VersionMark} from '@cassiaknot/peer-protocol';
import type {SkippedVersion} from '../config_replica.js';
import type {MembershipView} from '../membership_view.js';
import {EMPTY_MEMBERSHIP_VIEW} from '../membership_view.js';

/** One configuration version together with its compiled routes. */
export interface PublishedConfiguration {
  readonly state: ConfigurationState;
  readonly routes: RouteTable;
}

/** Latest snapshots of the control plane. */
export class PublishedState {
  private configuration: PublishedConfiguration = {
    state: EMPTY_STATE,
    routes: compileRouteTable(EMPTY_STATE),
  };
  private tip: VersionMark = {version: 0, digest: EMPTY_STATE.digest};
  private skipped: SkippedVersion | undefined;
  private membership: MembershipView = EMPTY_MEMBERSHIP_VIEW;

  /** The configuration in force. */
  getConfiguration(): PublishedConfiguration {
    return this.configuration;
  }

  /** The newest version known. */
  getTip(): VersionMark {
    return this.tip;
  }

  /** The newest version, if it is known but not in force. */
  getSkipped(): SkippedVersion | undefined {
    return this.skipped;
  }

  /** The members known. */
  getMembership(): MembershipView {
    return this.membership;
  }

  /** Puts a configuration in force by one assignment. */
  publishConfiguration(state: ConfigurationState): void {
    if (state.version < this.configuration.state.version) {
      throw new Error('A configuration version must not decrease');
    }
    if (state === this.configuration.state) return;
    this.configuration = {state, routes: compileRouteTable(state)};
  }

  /** Publishes what is known beyond the configuration in force. */
  publishTip(tip: VersionMark, skipped: SkippedVersion | undefined): void {
    this.tip = tip;
    this.skipped = skipped;
  }

  /** Publishes a view of the members. */
  publishMembership(view: MembershipView): void {
    this.membership = view;
  }
}
