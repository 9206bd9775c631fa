/**
 * A listening address of the entry daemon. While the daemon stops, calls on
 * open connections are still answered, and each answer ends its connection.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import polka from 'polka';
import type {ComponentLog} from '../daemon/log.js';

export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Connections still open this long after the last answer are closed. */
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
          log.error(`a call failed: ${detail ?? 'unknown'}`);
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

  /** From now on each answer ends its connection. */
  beginClose(): void {
    this.isClosing = true;
  }

  /** Accepts no more connections and ends once the calls are answered. */
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
