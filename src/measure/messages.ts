/**
 * Measures the cost of a call between daemons over HTTP and over a persistent
 * WebSocket: bytes in both directions, and CPU time of both sides. See
 * `docs/design.md`, section 3.13.
 *
 * Usage: `npm run measure:messages -- [--json] [--calls <number>]`
 */

import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {parseArgs} from 'node:util';
import {createTRPCClient, httpLink} from '@trpc/client';
import {createHTTPServer} from '@trpc/server/adapters/standalone';
import {Result} from 'true-myth';
import {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {SeededRandom} from '../lifecycle/random.js';
import {RefusedError} from '../model/errors.js';
import {randomId, trustedId} from '../model/ids.js';
import {PeerHandler} from '../interfaces/peer_client.js';
import type {Heartbeat} from '../interfaces/peer_client.js';
import {createPeerRouter} from '../transport/peer_protocol.js';
import type {PeerRouter} from '../transport/peer_protocol.js';
import {TrpcPeerClient} from '../transport/trpc_peer_client.js';
import {TrpcPeerServer} from '../transport/trpc_peer_server.js';

const DEFAULT_CALLS = 1_000;
const MAXIMUM_CALLS = 20_000;
/** Odd, so that the median is one of the measured values. */
const ROUNDS = 5;
const WARM_UP_CALLS = 300;
const HOST = '127.0.0.1';
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** One row of the table. The values are per call, medians of all rounds. */
interface Row {
  readonly transport: 'http' | 'websocket';
  readonly call: 'configurationSince' | 'heartbeat';
  readonly bytesPerCall: number;
  readonly cpuMicrosecondsPerCall: number;
}

/** A kind of call over one transport; `bytes` is the total transferred so far. */
interface MeasuredCall {
  readonly transport: Row['transport'];
  readonly call: Row['call'];
  readonly run: () => Promise<unknown>;
  readonly bytes: () => number;
}

const HEARTBEAT: Heartbeat = {
  daemonId: randomId('daemon'),
  vmId: trustedId('entry-fv-1-03'),
  availabilityZone: trustedId('fv-1'),
  address: '10.0.0.3:7000',
  leaving: false,
  configurationVersion: 1_234,
  queueLengths: [],
};

/** Answers the measured calls and refuses all others. */
class MeasuredHandler extends PeerHandler {
  private readonly refused = new RefusedError(
    'call is not measured',
    'do not call',
  );

  override heartbeat() {
    return HEARTBEAT;
  }
  override configurationSince() {
    return {kind: 'changes' as const, changes: []};
  }
  override dispatch(): Promise<never> {
    return Promise.reject(this.refused);
  }
  override async submitJob() {
    return Result.err<void, RefusedError>(this.refused);
  }
  override async cancelJob() {
    return Result.err<never, RefusedError>(this.refused);
  }
  override async job() {
    return Result.err<never, RefusedError>(this.refused);
  }
  override jobs() {
    return [];
  }
  override claimOutcome(): Promise<never> {
    return Promise.reject(this.refused);
  }
}

async function startHttpCalls(scope: CleanupScope): Promise<MeasuredCall[]> {
  const server: Server = createHTTPServer({
    router: createPeerRouter(new MeasuredHandler()),
    createContext: () => ({}),
  });
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  scope.add(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  const client = createTRPCClient<PeerRouter>({
    links: [httpLink({url: `http://${HOST}:${port}`})],
  });
  const bytes = () =>
    [...sockets].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  return [
    {
      transport: 'http',
      call: 'configurationSince',
      run: () => client.configurationSince.query({version: 1_234}),
      bytes,
    },
    {
      transport: 'http',
      call: 'heartbeat',
      run: () => client.heartbeat.mutate({full: HEARTBEAT}),
      bytes,
    },
  ];
}

async function startWebSocketCalls(
  scope: CleanupScope,
): Promise<MeasuredCall[]> {
  const log = (message: string) => console.error(message);
  const result = await TrpcPeerServer.listen({
    handler: new MeasuredHandler(),
    host: HOST,
    port: 0,
    scope,
    log,
  });
  if (result.isErr) throw result.error;
  const server = result.value;
  const random = new SeededRandom(1);
  const client = new TrpcPeerClient({random, scope, log: () => {}});
  const address = `${HOST}:${server.port}`;
  const bytes = () => {
    const {sentBytes, receivedBytes} = server.totals();
    return sentBytes + receivedBytes;
  };
  return [
    {
      transport: 'websocket',
      call: 'configurationSince',
      run: async () => unwrap(await client.configurationSince(address, 1_234)),
      bytes,
    },
    {
      transport: 'websocket',
      call: 'heartbeat',
      run: async () => unwrap(await client.heartbeat(address, HEARTBEAT)),
      bytes,
    },
  ];
}

/** Throws on a failed call, which would distort the measurement. */
function unwrap<T>(result: Result<T, Error>): T {
  if (result.isErr) throw result.error;
  return result.value;
}

async function measureRound(
  measuredCall: MeasuredCall,
  calls: number,
): Promise<{bytes: number; cpuMicroseconds: number}> {
  const bytesBefore = measuredCall.bytes();
  const cpuBefore = process.cpuUsage();
  for (let i = 0; i < calls; i += 1) await measuredCall.run();
  const cpu = process.cpuUsage(cpuBefore);
  return {
    bytes: (measuredCall.bytes() - bytesBefore) / calls,
    cpuMicroseconds: (cpu.user + cpu.system) / calls,
  };
}

function median(values: number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) / 2] ?? 0;
}

async function measure(calls: number): Promise<Row[]> {
  const scope = new CleanupScope();
  try {
    const measuredCalls = [
      ...(await startHttpCalls(scope)),
      ...(await startWebSocketCalls(scope)),
    ];
    for (const item of measuredCalls) await measureRound(item, WARM_UP_CALLS);
    const rounds = measuredCalls.map(
      () => [] as Array<{bytes: number; cpuMicroseconds: number}>,
    );
    // The calls alternate, so that other load on the machine affects all alike.
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const [index, measuredCall] of measuredCalls.entries()) {
        rounds[index]?.push(await measureRound(measuredCall, calls));
      }
    }
    return measuredCalls.map(({transport, call}, index) => ({
      transport,
      call,
      bytesPerCall: median((rounds[index] ?? []).map(({bytes}) => bytes)),
      cpuMicrosecondsPerCall: median(
        (rounds[index] ?? []).map(({cpuMicroseconds}) => cpuMicroseconds),
      ),
    }));
  } finally {
    await scope.close();
  }
}

function printTable(rows: readonly Row[], calls: number): void {
  console.log(`Medians of ${ROUNDS} rounds of ${calls} calls, per call`);
  console.log('transport  call                bytes  CPU of both sides');
  for (const row of rows) {
    const cpuMs = row.cpuMicrosecondsPerCall / MICROSECONDS_PER_MILLISECOND;
    console.log(
      [
        row.transport.padEnd(10),
        row.call.padEnd(18),
        row.bytesPerCall.toFixed(0).padStart(6),
        `${cpuMs.toFixed(3)} ms`.padStart(10),
      ].join(' '),
    );
  }
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      json: {type: 'boolean', default: false},
      calls: {type: 'string', default: String(DEFAULT_CALLS)},
    },
  });
  const calls = Number(values.calls);
  if (!Number.isInteger(calls) || calls < 1 || calls > MAXIMUM_CALLS) {
    console.error(`--calls: must be a whole number from 1 to ${MAXIMUM_CALLS}`);
    process.exitCode = 2;
    return;
  }
  const rows = await measure(calls);
  if (values.json) console.log(JSON.stringify({rounds: ROUNDS, calls, rows}));
  else printTable(rows, calls);
}

await main();
