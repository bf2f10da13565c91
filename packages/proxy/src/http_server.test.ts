import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {HttpServer} from './http_server.js';

const HOST = '127.0.0.1';
const RUN_MS = 30;

describe('HTTP server', () => {
  // The response to the first request closed the connection, though the second one
  // was running.
  it('responds to all pipelined requests that it runs while it drains', async () => {
    const run: string[] = [];
    const server = new HttpServer(async (request, response) => {
      run.push(request.url ?? '');
      await new Promise(resolve => setTimeout(resolve, RUN_MS));
      response.end(`ran ${request.url}`);
    });
    const port = await server.listen({host: HOST, port: 0, idleTimeoutMs: 500});
    server.beginDrain();
    const socket = connect({host: HOST, port});
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    const newHead = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
    socket.write(newHead('/1') + newHead('/2'));
    setTimeout(() => socket.write(newHead('/3')), RUN_MS / 2);
    await once(socket, 'close');
    await server.stop(0);
    expect(run).to.include.members(['/1', '/2']);
    expect(received.match(/ran \/\d/g)).to.have.length(run.length);
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });
});
