import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';

/**
 * Whether a request that has waited may still start. Its key may have been revoked, its route
 * removed, or a request like it may have crashed upstreams meanwhile; the bounds on how long that
 * takes to be in force hold for waiting requests as well.
 */
export function isStillAdmitted(context: RelayContext, job: RelayJob): boolean {
  const { exchange, request, service, traits, isTrial } = job;
  if (!isTrial && context.crashes.isQuarantined(traits)) return false;
  const config = context.getConfig();
  const route = config?.findRoute(request.host, request.path);
  if (!config || !route || route.kind !== exchange.route?.kind) return false;
  if (!route.targets.some((target) => target.service === service && target.weight > 0))
    return false;
  if (route.isPublic || !config.needsKeys) return true;
  return context.areKeysConfirmed() && config.findWorkspace(request.apiKey ?? '') !== undefined;
}
