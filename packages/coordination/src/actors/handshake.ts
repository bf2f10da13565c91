/** Messages that open a link, before any other message is accepted. */

import type {PeerMessage, PeerMessageOf} from '@cassiaknot/peer-protocol';

/** A message that opens or refuses a link. */
export type HandshakeMessage = PeerMessageOf<'hello' | 'welcome' | 'busy'>;

/** Whether a message belongs to the handshake of a link. */
export function isHandshake(message: PeerMessage): message is HandshakeMessage {
  return (
    message.kind === 'hello' ||
    message.kind === 'welcome' ||
    message.kind === 'busy'
  );
}
