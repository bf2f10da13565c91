/** What all actors of one coordinator share. */

import type {CoordinatorOptions} from '../coordinator_options.js';
import type {Quarantine} from '../quarantine.js';
import type {Readiness} from '../readiness.js';
import type {VersionBook} from '../version_book.js';
import type {ActorDirectory} from './actor_messages.js';
import type {PublishedState} from './published_state.js';

/** Shared collaborators of the actors. */
export interface ControlContext {
  readonly options: CoordinatorOptions;
  readonly directory: ActorDirectory;
  readonly published: PublishedState;
  readonly readiness: Readiness;
  readonly versionBook: VersionBook;
  readonly quarantine: Quarantine;
}
