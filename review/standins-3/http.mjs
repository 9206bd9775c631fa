/** Small helpers for HTTP servers and calls on loopback addresses. */

import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export function reply(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Returns the status and body; status 0 if there was no complete answer. */
export function call(address, method, path, {headers, body, timeoutMs}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = sendRequest({
      host,
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(text === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(text),
            }),
      },
    });
    const fail = () => resolve({status: 0, body: undefined});
    const timer = setTimeout(() => request.destroy(), timeoutMs ?? 3_000);
    request.on('error', fail);
    request.on('close', () => {
      clearTimeout(timer);
      fail();
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8');
        let parsed;
        try {
          parsed = JSON.parse(answer);
        } catch {
          parsed = undefined;
        }
        resolve({status: response.statusCode, body: parsed});
      });
    });
    request.end(text);
  });
}

/** Ports of the loopback address that nothing listens on at present. */
export async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((done) => server.listen(0, '127.0.0.1', done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) {
    await new Promise((done) => server.close(done));
  }
  return ports;
}

export function sleep(milliseconds) {
  return new Promise((done) => setTimeout(done, milliseconds));
}
