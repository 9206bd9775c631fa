/**
 * Stand-in of the platform's list of machines and of their upkeep, as
 * PROTOCOL.md says ("Machines"). Fences are checked for each machine.
 */

import {createServer} from 'node:http';
import {readBody, reply} from './http.mjs';

const UPKEEP_MS = 2_000;

export class Cloud {
  constructor(minions, record) {
    this.minions = minions;
    this.record = record;
    this.waves = new Map();
    this.fences = new Map();
    this.inUpkeep = new Set();
    this.done = new Set();
    /** Called when an upkeep begins, before the machine's tasks end. */
    this.onUpkeep = () => {};
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async listen(port) {
    await new Promise((done) => this.server.listen(port, '127.0.0.1', done));
    this.address = `127.0.0.1:${port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async handle(request, response) {
    const body = await readBody(request);
    const path = request.url.split('?')[0];
    if (path === '/v1/machines') {
      reply(response, 200, {
        machines: this.minions.map((minion) => this.describe(minion)),
        nextToken: null,
      });
    } else if (path === '/v1/machine-upkeep') {
      this.upkeep(body, request, response);
    } else reply(response, 404, {});
  }

  describe({id, machine, service, zone, labels, capacity, isUp}) {
    let state = isUp ? 'up' : 'down';
    if (this.inUpkeep.has(machine)) state = 'upkeep';
    return {
      machine,
      pool: service,
      state,
      zone,
      labels,
      capacity,
      id: isUp ? id : null,
    };
  }

  upkeep({machine, wave}, request, response) {
    const holder = request.headers['bramleystep-duty-holder'];
    const fence = Number(request.headers['bramleystep-fencing-token']);
    const minion = this.minions.find((each) => each.machine === machine);
    if (minion === undefined) return reply(response, 400, {});
    if (fence < (this.fences.get(machine) ?? 0)) {
      return reply(response, 409, {reason: 'fence'});
    }
    this.fences.set(machine, fence);
    const name = `${machine}/${wave}`;
    if (this.done.has(name)) return reply(response, 200, {});
    if (!(this.waves.get(wave) ?? []).includes(machine)) {
      return reply(response, 409, {reason: 'wave'});
    }
    if (!minion.isUp) return reply(response, 409, {reason: 'busy'});
    this.done.add(name);
    this.record('cloud', 'upkeep begins', {machine, wave, holder, fence});
    this.onUpkeep(minion);
    this.inUpkeep.add(machine);
    minion.crash();
    setTimeout(() => {
      this.inUpkeep.delete(machine);
      this.record('cloud', 'upkeep ends', {machine});
      void minion.restart();
    }, UPKEEP_MS);
    return reply(response, 200, {});
  }
}
