/**
 * HTTP listener on one address of the entry daemon. During shutdown it still
 * answers requests on open connections and closes each after its answer.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import polka from 'polka';
import type {ComponentLog} from '../daemon/log.js';

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** `close` ends connections that are still open after this time. */
const CLOSE_GRACE_MS = 500;

export class HttpListener {
  private readonly server: Server;
  private isClosing = false;

  constructor(handler: HttpHandler, log: ComponentLog) {
    this.server = createServer();
    const router = polka({
      onNoMatch: (request, response) => {
        if (this.isClosing) response.setHeader('Connection', 'close');
        handler(request, response).catch((error: unknown) => {
          const detail = error instanceof Error ? error.stack : String(error);
          log.error(`request handler failed: ${detail ?? 'unknown'}`);
          if (!response.headersSent) response.writeHead(500);
          response.end();
        });
      },
    });
    this.server.on('request', (request: IncomingMessage, response) => {
      router.handler(request as Parameters<typeof router.handler>[0], response);
    });
    this.server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
    });
  }

  setTimeouts(headerTimeoutMs: number, idleTimeoutMs: number): void {
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** `address` is `host:port`. */
  async listen(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Closes each connection after its next answer from now on. */
  beginClose(): void {
    this.isClosing = true;
  }

  /** Accepts no new connections and resolves once the open ones are closed. */
  async close(): Promise<void> {
    this.isClosing = true;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.server.closeAllConnections();
        resolve();
      }, CLOSE_GRACE_MS);
      this.server.close(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
