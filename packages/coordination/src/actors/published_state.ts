/**
 * Immutable state that the actors publish. It can be read at any time without
 * sending a message to an actor.
 */

import type {
  ConfigurationState,
  RouteTable,
  WorkspaceIndex,
} from '@cassiaknot/inventory';
import {
  EMPTY_STATE,
  compileNextRouteTable,
  compileRouteTable,
  compileNextWorkspaceIndex,
  compileWorkspaceIndex,
} from '@cassiaknot/inventory';
import type {VersionDigest} from '@cassiaknot/peer-protocol';
import type {SkippedVersion} from '../config_replica.js';
import type {MembershipView} from '../membership_view.js';
import {EMPTY_MEMBERSHIP_VIEW} from '../membership_view.js';
import type {OverlayPlan} from '../overlay_plan.js';

/** A configuration version with its compiled routes and workspaces. */
export interface PublishedConfiguration {
  readonly state: ConfigurationState;
  readonly routes: RouteTable;
  readonly workspaces: WorkspaceIndex;
}

/** Latest published state of the control plane. */
export class PublishedState {
  private configuration: PublishedConfiguration = {
    state: EMPTY_STATE,
    routes: compileRouteTable(EMPTY_STATE),
    workspaces: compileWorkspaceIndex(EMPTY_STATE),
  };
  private tip: VersionDigest = {version: 0, digest: EMPTY_STATE.digest};
  private announcedVersion = 0;
  private skipped: SkippedVersion | undefined;
  private membership: MembershipView = EMPTY_MEMBERSHIP_VIEW;
  private plan: OverlayPlan | undefined;
  private isWithoutSeeds = false;

  /** The installed configuration. */
  getConfiguration(): PublishedConfiguration {
    return this.configuration;
  }

  /** The newest known version, installed or not. */
  getTip(): VersionDigest {
    return this.tip;
  }

  /** The newest known version, if it is not installed. */
  getSkipped(): SkippedVersion | undefined {
    return this.skipped;
  }

  getMembership(): MembershipView {
    return this.membership;
  }

  /** Replaces the installed configuration and its routes in one assignment. */
  publishConfiguration(state: ConfigurationState): void {
    if (state.version < this.configuration.state.version) {
      throw new Error(
        `Configuration version must not decrease from ${this.configuration.state.version} to ${state.version}`,
      );
    }
    const {state: before, routes, workspaces} = this.configuration;
    if (state === before) return;
    this.configuration = {
      state,
      routes: compileNextRouteTable(before, routes, state),
      workspaces: compileNextWorkspaceIndex(before, workspaces, state),
    };
  }

  /** Publishes the newest known version, and why it is not installed. */
  publishTip(tip: VersionDigest, skipped: SkippedVersion | undefined): void {
    this.tip = tip;
    this.skipped = skipped;
  }

  /** The newest version that a peer has announced. */
  getAnnouncedVersion(): number {
    return this.announcedVersion;
  }

  publishAnnouncedVersion(version: number): void {
    this.announcedVersion = Math.max(this.announcedVersion, version);
  }

  publishMembership(view: MembershipView): void {
    this.membership = view;
  }

  /** Whether the first list of seeds was empty. */
  hasFoundNoSeed(): boolean {
    return this.isWithoutSeeds;
  }

  publishNoSeedFound(): void {
    this.isWithoutSeeds = true;
  }

  /** The overlay plan; undefined until members are known. */
  getPlan(): OverlayPlan | undefined {
    return this.plan;
  }

  publishPlan(plan: OverlayPlan): void {
    this.plan = plan;
  }
}
