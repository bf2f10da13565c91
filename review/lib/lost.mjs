/** The check of the rule LOST for requests from kept connections. */

import {Connection} from './client.mjs';

/** RULES.md, LOST: "... closes that connection without an answer, more than three times". */
const MAX_CLOSED_WITHOUT_ANSWER = 3;

/** Work of the requests that keep the connections in use, and of the first ones. */
const SHORT_WORK_MS = 20;
const LONG_WORK_MS = 1_000;

/** Records which requests reached an endpoint, and answers them after their work. */
export class WorkLog {
  constructor(review) {
    this.review = review;
    this.runsById = new Map();
  }

  /** Runs a request for the time that the last part of its path names. */
  run(request, response, endpoint) {
    const id = request.headers['request-id'];
    this.runsById.set(id, endpoint.id);
    this.review.write(`${endpoint.id} runs ${id} ${request.url}`);
    setTimeout(
      () => {
        const body = 'x'.repeat(1_500);
        response.writeHead(200, {
          ...endpoint.answerHeaders(request),
          'Content-Length': body.length,
        });
        response.end(body);
      },
      Number(request.url.split('/').at(-1)),
    );
  }

  getEndpoint(id) {
    return this.runsById.get(id);
  }
}

/** Clients of one machine, each with a connection that it keeps. */
export class KeptConnections {
  constructor({review, machine, workLog, host, deadlineMs, count}) {
    Object.assign(this, {review, machine, workLog, host, deadlineMs});
    this.connections = Array.from({length: count});
    this.closed = [];
  }

  /** Answers one short request on each connection, so that it is a kept one. */
  async open() {
    this.connections = this.connections.map(() => new Connection(this.machine));
    return Promise.all(
      this.connections.map(connection => this.send(connection, SHORT_WORK_MS)),
    );
  }

  /** Sends a long request on each connection and records those left unanswered. */
  async sendLong() {
    const answers = await Promise.all(
      this.connections.map(connection => this.send(connection, LONG_WORK_MS)),
    );
    for (const answer of answers) {
      const endpointId = this.workLog.getEndpoint(answer.id);
      if (answer.status !== 0 || endpointId === undefined) continue;
      this.closed.push(`${answer.id}, passed on to ${endpointId}`);
    }
    return answers;
  }

  /**
   * Sends long requests until a connection is closed; returns a function that ends
   * this.
   */
  keepSending() {
    let isActive = true;
    const done = (async () => {
      while (isActive) {
        const answers = await this.sendLong();
        if (answers.some(({status}) => status === 0)) return;
      }
    })();
    return () => {
      isActive = false;
      return done;
    };
  }

  /** Returns the breaches of the rule. */
  check() {
    const {closed} = this;
    this.review.write(`closed without an answer: ${closed.length}`);
    if (closed.length <= MAX_CLOSED_WITHOUT_ANSWER) return [];
    return closed.map(text => `LOST ${text}: connection closed, no answer`);
  }

  close() {
    for (const connection of this.connections) connection.close();
  }

  async send(connection, workMs) {
    const {host, deadlineMs} = this;
    const path = `/${host}/${workMs}`;
    const answer = await connection.send({host, path, deadlineMs});
    const {id, status, tookMs, error} = answer;
    this.review.write(
      `client ${id}: status ${status} after ${tookMs} ms ${error ?? ''}`,
    );
    return answer;
  }
}
