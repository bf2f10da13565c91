import {expect} from 'chai';
import {RepeatedRequests} from './repeated_requests.js';

describe('Requests repeated after a refusal', () => {
  it('counts the refusals of a request', () => {
    const requests = new RepeatedRequests();
    requests.recordRefusal('a', 'overloaded', 0);
    requests.recordRefusal('a', 'over-share', 100);
    expect(requests.find('a', 200)).to.include({
      count: 2,
      lastReason: 'over-share',
    });
    expect(requests.find('b', 200)).to.equal(undefined);
  });

  it('forgets old refusals', () => {
    const requests = new RepeatedRequests();
    requests.recordRefusal('a', 'overloaded', 0);
    expect(requests.find('a', 60_000)).to.equal(undefined);
  });

  // An overload refuses thousands of requests; their ids must not fill the memory.
  it('sustained refusals: remembers a bounded number of requests, the latest', () => {
    const requests = new RepeatedRequests(10);
    for (let index = 0; index < 100; index += 1) {
      requests.recordRefusal(`r${index}`, 'overloaded', index);
    }
    expect(requests.find('r89', 100)).to.equal(undefined);
    expect(requests.find('r90', 100)).to.not.equal(undefined);
  });

  it('does not remember requests without an id, or with a very long one', () => {
    const requests = new RepeatedRequests();
    const longId = 'x'.repeat(10_000);
    requests.recordRefusal('', 'overloaded', 0);
    requests.recordRefusal(longId, 'overloaded', 0);
    expect(requests.find('', 0)).to.equal(undefined);
    expect(requests.find(longId, 0)).to.equal(undefined);
  });
});
