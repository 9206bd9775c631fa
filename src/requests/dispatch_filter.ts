/**
 * The last filter of the entry daemon. Sends the request to the home daemon
 * of the chosen minion, which may be the entry daemon itself.
 */

import type {CallError} from '../model/errors.js';
import {hadNoEffect} from '../model/errors.js';
import type {Outcome} from '../model/requests.js';
import type {Dispatch} from '../interfaces/peer_client.js';
import type {RequestDirectory, RequestPeers} from './directory.js';
import {notRun, RequestFilter, unknown} from './exchange.js';
import type {Exchange} from './exchange.js';
import type {HomeDispatcher} from './home_dispatcher.js';

/**
 * The home daemon answers at the deadline at the latest. The call waits this
 * much longer, so that a `notRun` in transit does not become `unknown`.
 */
const PEER_ANSWER_MARGIN_MS = 250;

export class DispatchFilter extends RequestFilter {
  constructor(
    private readonly directory: RequestDirectory,
    private readonly homeDispatcher: HomeDispatcher,
    private readonly peers: RequestPeers,
  ) {
    super();
  }

  override async handle(exchange: Exchange): Promise<Outcome> {
    const {target, request} = exchange;
    const {home, minion} = target;
    const dispatch: Dispatch = {
      minionId: minion.vmId,
      request,
      homeDaemonId: home.daemonId,
      attempt: exchange.startAttempt(),
      remainingMs: Math.max(0, exchange.remainingMs()),
    };
    if (home.daemonId === this.directory.daemonId) {
      return this.homeDispatcher.dispatch(dispatch, exchange.signal);
    }
    return this.dispatchToPeer(home.address, dispatch);
  }

  private async dispatchToPeer(
    address: string,
    dispatch: Dispatch,
  ): Promise<Outcome> {
    const {requestId} = dispatch.request;
    const timeoutMs = (dispatch.remainingMs ?? 0) + PEER_ANSWER_MARGIN_MS;
    const result = await this.peers.dispatch(address, dispatch, timeoutMs);
    if (result.isErr) return outcomeOfFailedCall(dispatch, result.error);
    if (result.value.requestId === requestId) return result.value;
    return unknown(
      requestId,
      'malformed-answer',
      'the home daemon answered for another request',
    );
  }
}

function outcomeOfFailedCall(dispatch: Dispatch, error: CallError): Outcome {
  const {requestId} = dispatch.request;
  if (hadNoEffect(error)) {
    return notRun(
      requestId,
      'minion-unreachable',
      `the home daemon of the minion was not reached: ${error.problem}`,
    );
  }
  return unknown(
    requestId,
    error.kind === 'timeout' ? 'no-answer-in-time' : 'peer-lost',
    `the answer of the home daemon is lost: ${error.problem}`,
  );
}
