import type { RelayConfig, Route, Service, Workspace } from './relayConfig.js';

/** A configuration with indexes for the lookups of each request. */
export class ConfigIndex {
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  private readonly servicesByName = new Map<string, Service>();

  private readonly workspacesByKey = new Map<string, Workspace>();

  constructor(readonly config: RelayConfig) {
    for (const route of config.routes) {
      const routes = this.routesByHost.get(route.host) ?? new Map<string, Route>();
      this.routesByHost.set(route.host, routes.set(route.pathPrefix, route));
    }
    for (const service of config.services) this.servicesByName.set(service.name, service);
    for (const workspace of config.workspaces ?? []) {
      for (const key of workspace.apiKeys) this.workspacesByKey.set(key, workspace);
    }
  }

  /** Whether requests to non-public routes need an API key. */
  get needsKeys(): boolean {
    return this.config.workspaces !== undefined;
  }

  /** Whether a service has upstreams that are cold after a start. */
  get hasWarmups(): boolean {
    return this.config.services.some(
      ({ warmupRequestsPerSecond = 0 }) => warmupRequestsPerSecond > 0,
    );
  }

  /**
   * Finds the route whose prefix is the longest match for `path`.
   *
   * @param path path as received, not decoded; a query is ignored
   */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ''));
    if (!routes) return undefined;
    const queryAt = path.indexOf('?');
    let end = queryAt < 0 ? path.length : queryAt;
    for (;;) {
      const slashAt = path.lastIndexOf('/', end - 1);
      if (slashAt < 0) return undefined;
      const route = routes.get(path.slice(0, slashAt + 1));
      if (route) return route;
      // `lastIndexOf` treats a negative index as 0 and would find the first slash forever.
      if (slashAt === 0) return undefined;
      end = slashAt;
    }
  }

  findService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  findWorkspace(apiKey: string): Workspace | undefined {
    return this.workspacesByKey.get(apiKey);
  }
}
