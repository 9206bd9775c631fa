/**
 * Stand-in for a minion. It runs requests in order of arrival in a fixed number
 * of slots. Like a backend server that does not monitor its connections, it
 * also runs requests whose caller has disconnected.
 */

import {createHash} from 'node:crypto';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import PQueue from 'p-queue';
import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import type {RequestId} from '../model/ids.js';
import {
  customerIdSchema,
  requestIdSchema,
  vmIdSchema,
  workClassIdSchema,
} from '../model/ids.js';
import {
  CUSTOMER_HEADER,
  DIGEST_HEADER,
  LEAVING_HEADER,
  REQUEST_ID_HEADER,
  WORK_CLASS_HEADER,
  contentDigest,
} from '../transport/http_protocol.js';
import type {RunLog} from './run_log.js';
import {listenOptionsSchema} from './standin_process.js';
import type {StandinAddresses} from './standin_process.js';
import type {ReceivedCall} from './standin_server.js';
import {StandinServer, parseBody, wait} from './standin_server.js';

const DEFAULT_SLOTS = 8;
const DEFAULT_MAXIMUM_CONNECTIONS = 64;
const DEFAULT_SERVICE_TIME_MS = 20;
const BAD_REQUEST_STATUS = 400;
const ANSWERED_STATUS = 200;
const NOT_RUN_STATUS = 503;

/** Larger than any answer that clients accept. */
const OVERSIZED_ANSWER_BYTES = 8 * 1_048_576;
const FILLER_CHUNK = Buffer.alloc(65_536, 'x');
const FOREIGN_REQUEST_ID = 'request-of-another-caller';

export const minionFaultsSchema = z.object({
  /**
   * Fault of the answers:
   * - `whole`: none;
   * - `silent`: accepts the request, does not run it and never answers;
   * - `silent-after-run`: runs the request and never answers;
   * - `truncated`: closes the connection in the middle of the body;
   * - `foreign`: the request id in the header is that of another request;
   * - `wrong-digest`: the body does not match the digest;
   * - `oversized`: the body is too large, and its length is in the header;
   * - `never-ending`: the body is chunked and never ends;
   * - `refused`: answers that it did not run the request.
   */
  answers: z
    .enum([
      'whole',
      'silent',
      'silent-after-run',
      'truncated',
      'foreign',
      'wrong-digest',
      'oversized',
      'never-ending',
      'refused',
    ])
    .default('whole'),
  /** Reports that its VM is leaving and refuses new requests. */
  leaving: z.boolean().default(false),
  /** Added to the service time of each request. */
  slowMs: z.number().min(0).default(0),
});
export type MinionFaults = z.infer<typeof minionFaultsSchema>;

export const minionOptionsSchema = listenOptionsSchema.extend({
  minionId: vmIdSchema,
  /** Requests that run concurrently. Further requests wait. */
  slots: z.int().min(1).default(DEFAULT_SLOTS),
  /** Maximum of open connections. Further ones are closed on arrival. */
  connections: z.int().min(1).default(DEFAULT_MAXIMUM_CONNECTIONS),
  /** Service time of requests whose payload states none. */
  serviceTimeMs: z.number().min(0).default(DEFAULT_SERVICE_TIME_MS),
  ...minionFaultsSchema.shape,
});
export type MinionOptions = z.infer<typeof minionOptionsSchema>;

export const minionStatusSchema = z.object({
  /** Open connections. */
  connections: z.int(),
  /** Highest number of connections open at the same time. */
  mostConnections: z.int(),
  /** Connections accepted since the start. */
  acceptedConnections: z.int(),
  running: z.int(),
  waiting: z.int(),
});
export type MinionStatus = z.infer<typeof minionStatusSchema>;

const payloadSchema = z.object({serviceTimeMs: z.number().min(0)});

const requestIdentitySchema = z.object({
  requestId: requestIdSchema,
  customerId: customerIdSchema,
  workClassId: workClassIdSchema,
});
type RequestIdentity = z.infer<typeof requestIdentitySchema>;

/** Body that a minion without faults answers with. */
export function expectedAnswer(requestId: RequestId, payload: string): string {
  const sha256 = createHash('sha256').update(payload).digest('hex');
  return JSON.stringify({requestId, sha256});
}

export class MinionService {
  private readonly server = new StandinServer();
  private readonly adminServer = new StandinServer();
  private readonly slotQueue: PQueue;
  private faults: MinionFaults;
  private peakConnections = 0;
  private acceptedConnections = 0;

  constructor(
    private readonly scope: CleanupScope,
    private readonly options: MinionOptions,
    private readonly log: RunLog,
  ) {
    this.faults = minionFaultsSchema.parse(options);
    this.slotQueue = new PQueue({concurrency: options.slots});
    this.server.server.maxConnections = options.connections;
    this.server.server.on('connection', () => {
      this.acceptedConnections += 1;
      const open = this.server.connectionCount;
      this.peakConnections = Math.max(this.peakConnections, open);
    });
  }

  async start(): Promise<StandinAddresses> {
    this.server.addRoute('POST', '/run', (call) => this.handleRequest(call));
    this.adminServer.addWriteRoute('POST', '/admin/faults', (call) => {
      this.faults = parseBody(call, minionFaultsSchema);
    });
    this.adminServer.addReadRoute('GET', '/admin/status', () => this.status());
    const {host, port, adminPort} = this.options;
    return {
      listening: await this.server.listen(this.scope, host, port),
      admin: await this.adminServer.listen(this.scope, host, adminPort),
    };
  }

  private status(): MinionStatus {
    return {
      connections: this.server.connectionCount,
      mostConnections: this.peakConnections,
      acceptedConnections: this.acceptedConnections,
      running: this.slotQueue.pending,
      waiting: this.slotQueue.size,
    };
  }

  private async handleRequest(call: ReceivedCall): Promise<void> {
    const identity = parseIdentity(call);
    if (identity === undefined) {
      call.response.writeHead(BAD_REQUEST_STATUS).end();
      return;
    }
    if (call.request.headers[DIGEST_HEADER] !== contentDigest(call.body)) {
      this.refuse(call, identity, 'the payload does not match its digest');
      return;
    }
    if (this.faults.answers === 'silent') return;
    if (this.faults.leaving || this.faults.answers === 'refused') {
      this.refuse(call, identity, 'the minion takes no request');
      return;
    }
    await this.slotQueue.add(() => this.run(call, identity));
  }

  private async run(
    call: ReceivedCall,
    identity: RequestIdentity,
  ): Promise<void> {
    const {minionId} = this.options;
    const event = {minionId, ...identity};
    this.log.record({event: 'runStarted', at: Date.now(), ...event});
    const payload = call.body.toString('utf8');
    const serviceTimeMs =
      parseServiceTimeMs(payload) ?? this.options.serviceTimeMs;
    await wait(serviceTimeMs + this.faults.slowMs);
    this.log.record({event: 'runEnded', at: Date.now(), ...event});
    this.sendAnswer(call.response, identity.requestId, payload);
  }

  private sendAnswer(
    response: ServerResponse,
    requestId: RequestId,
    payload: string,
  ): void {
    const body = Buffer.from(expectedAnswer(requestId, payload));
    const headers = this.answerHeaders(requestId, body);
    switch (this.faults.answers) {
      case 'silent-after-run':
        return;
      case 'truncated':
        response.writeHead(ANSWERED_STATUS, headers);
        response.write(body.subarray(0, body.length / 2), () =>
          response.destroy(),
        );
        return;
      case 'foreign':
        response.writeHead(ANSWERED_STATUS, {
          ...headers,
          [REQUEST_ID_HEADER]: FOREIGN_REQUEST_ID,
        });
        response.end(body);
        return;
      case 'wrong-digest':
        response.writeHead(ANSWERED_STATUS, headers);
        response.end(Buffer.alloc(body.length, 'x'));
        return;
      case 'oversized':
        response.writeHead(ANSWERED_STATUS, {
          ...headers,
          'content-length': OVERSIZED_ANSWER_BYTES,
        });
        writeFiller(response, OVERSIZED_ANSWER_BYTES);
        return;
      case 'never-ending':
        delete headers['content-length'];
        response.writeHead(ANSWERED_STATUS, headers);
        writeFiller(response, Infinity);
        return;
      default:
        response.writeHead(ANSWERED_STATUS, headers);
        response.end(body);
    }
  }

  private refuse(
    call: ReceivedCall,
    identity: RequestIdentity,
    message: string,
  ): void {
    const body = Buffer.from(JSON.stringify({notRun: true, message}));
    const headers = this.answerHeaders(identity.requestId, body);
    call.response.writeHead(NOT_RUN_STATUS, headers);
    call.response.end(body);
  }

  private answerHeaders(
    requestId: RequestId,
    body: Buffer,
  ): OutgoingHttpHeaders {
    return {
      'content-type': 'application/octet-stream',
      'content-length': body.length,
      [REQUEST_ID_HEADER]: requestId,
      [DIGEST_HEADER]: contentDigest(body),
      [LEAVING_HEADER]: String(this.faults.leaving),
    };
  }
}

/** Writes filler until `bytes` are written or the connection closes. */
function writeFiller(response: ServerResponse, bytes: number): void {
  let writtenBytes = 0;
  const write = () => {
    while (writtenBytes < bytes && !response.destroyed) {
      writtenBytes += FILLER_CHUNK.length;
      if (!response.write(FILLER_CHUNK)) return;
    }
    response.end();
  };
  response.on('drain', write);
  write();
}

function parseIdentity(call: ReceivedCall): RequestIdentity | undefined {
  const {headers} = call.request;
  const parsed = requestIdentitySchema.safeParse({
    requestId: headers[REQUEST_ID_HEADER],
    customerId: headers[CUSTOMER_HEADER],
    workClassId: headers[WORK_CLASS_HEADER],
  });
  return parsed.success ? parsed.data : undefined;
}

function parseServiceTimeMs(payload: string): number | undefined {
  try {
    const parsed = payloadSchema.safeParse(JSON.parse(payload));
    return parsed.success ? parsed.data.serviceTimeMs : undefined;
  } catch {
    return undefined;
  }
}
