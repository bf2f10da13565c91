/** Mapping between the request path and the HTTP headers of a platform. */

import type {IncomingHttpHeaders} from 'node:http';
import type {WorkspaceId} from '@cassiaknot/inventory';

/** Request metadata from a caller's headers. */
export interface CallerMetadata {
  /** Empty if the caller sent none. */
  readonly requestId: string;
  /** Timeout of the caller; undefined if it sent none. */
  readonly timeoutMs: number | undefined;
  /** Key of the caller's workspace; undefined if it sent none. */
  readonly key?: string | undefined;
}

/** Metadata sent to a target in addition to the caller's headers. */
export interface TargetMetadata {
  readonly requestId: string;
  readonly remainingMs: number;
  /** Id of the only target that may run the request; undefined if unknown. */
  readonly targetId: string | undefined;
  readonly callerServiceId: string;
  /** Workspace of the caller; undefined if the request carried no known key. */
  readonly workspaceId?: WorkspaceId | undefined;
}

/** Classification of a target's response. */
export type ResponseClassification =
  /** The response to this request. */
  | {readonly kind: 'answer'}
  /**
   * The target states that it did not run the request; `isOtherInstance` if the
   * reason is that the request named another target id.
   */
  | {
      readonly kind: 'not-run';
      readonly isOtherInstance: boolean;
      /** Whether the response bears the id of the request. */
      readonly isIdentified: boolean;
    }
  /** Not known to answer this request: possibly left over from another one. */
  | {readonly kind: 'foreign'; readonly isRefusal: boolean};

/** The head of a final response, and its place on the connection. */
export interface ResponseHead {
  readonly statusCode: number;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Number of responses that the connection carried before this one. */
  readonly precedingResponseCount: number;
}

/** What a target says of itself in a response. */
export interface TargetReport {
  /** Requests per second that it takes from all entries together, if limited. */
  readonly limitPerSecond: number | undefined;
  readonly isLeaving: boolean;
  /** How long work takes there now, 1 as usual; undefined if it doesn't say. */
  readonly pace?: number | undefined;
}

/** Reads and writes the headers of callers and targets. */
export interface HeaderCodec {
  /** Lower-case names of request headers that are not forwarded. */
  readonly strippedRequestHeaders: ReadonlySet<string>;
  /**
   * Lower-case names of request headers that carry a key or name a workspace. They are
   * not forwarded where the configuration has workspaces.
   */
  readonly workspaceRequestHeaders: ReadonlySet<string>;
  /** Value of `WWW-Authenticate` in responses to requests without a known key. */
  readonly challenge: string;
  /** Lower-case names of response headers that are not forwarded. */
  readonly strippedResponseHeaders: ReadonlySet<string>;
  parseCallerHeaders(headers: IncomingHttpHeaders): CallerMetadata;
  /** Returns headers as alternating names and values. */
  formatTargetHeaders(metadata: TargetMetadata): string[];
  parseTargetReport(
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): TargetReport;
  classifyResponse(
    requestId: string,
    head: ResponseHead,
  ): ResponseClassification;
}

/** Lower-case names of hop-by-hop and framing headers, which are not forwarded. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);
