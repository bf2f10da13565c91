/** Dependencies shared by all actors of one coordinator. */

import type {CoordinatorOptions} from '../coordinator_options.js';
import type {Quarantine} from '../quarantine.js';
import type {Readiness} from '../readiness.js';
import type {ReportedVersions} from '../reported_versions.js';
import type {SourceFreshness} from '../source_freshness.js';
import type {VersionTrace} from '../version_trace.js';
import type {ActorDirectory} from './actor_messages.js';
import type {PublishedState} from './published_state.js';

export interface ControlContext {
  readonly options: CoordinatorOptions;
  readonly directory: ActorDirectory;
  readonly published: PublishedState;
  readonly readiness: Readiness;
  readonly reportedVersions: ReportedVersions;
  readonly quarantine: Quarantine;
  readonly sourceFreshness: SourceFreshness;
  readonly versionTrace: VersionTrace;
}
