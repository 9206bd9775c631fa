/**
 * TCP fault proxy with several links, each with its own port, target and
 * faults. Links and faults are set through its admin interface.
 */

import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {NotFoundError} from '../model/errors.js';
import {addressSchema} from '../interfaces/vm_list.js';
import {FaultLink, linkFaultsSchema} from './fault_link.js';
import type {RunLog} from './run_log.js';
import {listenOptionsSchema} from './standin_process.js';
import type {StandinAddresses} from './standin_process.js';
import type {ReceivedCall} from './standin_server.js';
import {StandinServer, parseBody, parseParameters} from './standin_server.js';

const linkNameSchema = z.string().regex(/^[A-Za-z0-9._-]+$/);

const linkParametersSchema = z.object({link: linkNameSchema});

const linkOptionsSchema = z.object({
  name: linkNameSchema,
  port: z.int().min(0).max(65_535).default(0),
  target: addressSchema,
});

const linkTargetSchema = linkOptionsSchema.pick({target: true});

/** There is no `port`: the proxy listens on its links and `adminPort` only. */
export const faultProxyOptionsSchema = listenOptionsSchema
  .omit({port: true})
  .extend({links: z.array(linkOptionsSchema).default([])});
export type FaultProxyOptions = z.infer<typeof faultProxyOptionsSchema>;

/** Answer to `POST /admin/links`. */
export const linkAddressSchema = z.object({address: addressSchema});

export class FaultProxyService {
  private readonly adminServer = new StandinServer();
  private readonly links = new Map<string, FaultLink>();

  constructor(
    private readonly scope: CleanupScope,
    private readonly options: FaultProxyOptions,
    private readonly log: RunLog,
  ) {}

  async start(): Promise<StandinAddresses> {
    this.addAdminRoutes();
    const links: Record<string, string> = {};
    for (const link of this.options.links) {
      links[link.name] = await this.addLink(link);
    }
    const {host, adminPort} = this.options;
    const admin = await this.adminServer.listen(this.scope, host, adminPort);
    return {listening: admin, admin, links};
  }

  private async addLink(
    options: z.infer<typeof linkOptionsSchema>,
  ): Promise<string> {
    const link = new FaultLink(options.target);
    const {host} = this.options;
    const address = await link.listen(this.scope, host, options.port);
    this.links.set(options.name, link);
    return address;
  }

  private addAdminRoutes(): void {
    const {adminServer} = this;
    adminServer.addWriteRoute('POST', '/admin/links', async (call) => ({
      address: await this.addLink(parseBody(call, linkOptionsSchema)),
    }));
    adminServer.addWriteRoute('POST', '/admin/links/:link/faults', (call) => {
      const {name, link} = this.findLink(call);
      link.faults = parseBody(call, linkFaultsSchema);
      this.log.record({event: 'linkFaultsSet', at: Date.now(), link: name});
    });
    adminServer.addWriteRoute('POST', '/admin/links/:link/target', (call) => {
      const {target} = parseBody(call, linkTargetSchema);
      this.findLink(call).link.retarget(target);
    });
    adminServer.addReadRoute(
      'GET',
      '/admin/links/:link',
      (call) => this.findLink(call).link.status,
    );
  }

  private findLink(call: ReceivedCall): {name: string; link: FaultLink} {
    const {link: name} = parseParameters(call, linkParametersSchema);
    const link = this.links.get(name);
    if (link !== undefined) return {name, link};
    throw new NotFoundError(`link ${name} does not exist`, 'add it first');
  }
}
