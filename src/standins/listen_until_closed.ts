/** Listening servers that are closed with a scope. */

import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';

/** Listens until the scope closes. Returns host and port; port 0 picks any. */
export async function listenUntilClosed(
  server: Server,
  scope: CleanupScope,
  host: string,
  port: number,
  close: () => Promise<void> | void,
): Promise<string> {
  const listening = once(server, 'listening');
  server.listen(port, host);
  await listening;
  scope.add(close);
  const address = server.address() as AddressInfo;
  return `${host}:${address.port}`;
}
