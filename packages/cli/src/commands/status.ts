/** `cassiaknot status`: prints the status of daemons. */

import {request} from 'undici';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';

const REQUEST_TIMEOUT_MS = 2_000;

/** Prints one line per daemon; fails if one gives no status. */
export async function runStatus(
  context: CommandContext,
  daemonUrls: readonly string[],
): Promise<ExitStatus> {
  let status = ExitStatus.OK;
  for (const url of daemonUrls) {
    const text = await fetchStatus(`${url}/v1/status`);
    if (text === undefined) {
      context.printError(
        `${url}: expected status 200 from /v1/status within ${REQUEST_TIMEOUT_MS} ms`,
      );
      status = ExitStatus.UNAVAILABLE;
      continue;
    }
    context.print(text.trimEnd());
  }
  return status;
}

async function fetchStatus(url: string): Promise<string | undefined> {
  try {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    const response = await request(url, {signal});
    const text = await response.body.text();
    return response.statusCode === 200 ? text : undefined;
  } catch {
    return undefined;
  }
}
