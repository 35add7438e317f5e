import type { ConfigReplica, ObjectStore, TrackedLease } from '@cactusstair/coordination';
import { Lease } from '@cactusstair/coordination';
import type { Failure, Model, Rollout } from '@cactusstair/protocol';
import { RolloutPhase, VersionState } from '@cactusstair/protocol';
import type { RolloutDecision, VersionStatsRecorder } from '@cactusstair/routing';
import { decideRollout, VersionStatsTable } from '@cactusstair/routing';
import type { Clock, Logger } from '@cactusstair/utils';
import type { Result } from 'neverthrow';

import type { AddressBook } from '../peers/addressBook.js';
import type { PeerClients } from '../peers/peerClients.js';
import type { EntrySettings } from '../settings.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { RolloutEditor } from './rolloutEditor.js';
import { isRolloutEnded } from './rolloutEditor.js';
import { VersionLoader } from './versionLoader.js';

/** Options of `RolloutController`. */
export interface RolloutControllerOptions {
  settings: EntrySettings;
  incarnation: number;
  store: ObjectStore;
  replica: ConfigReplica;
  rollouts: RolloutEditor;
  addresses: AddressBook;
  peerClients: PeerClients;
  directory: UpstreamDirectory;
  versionStats: VersionStatsRecorder;
  clock: Clock;
  logger: Logger;
}

/** A rollout with the version of its stored object. */
interface StoredRollout {
  rollout: Rollout;
  version: number;
}

const LEASE_NAME = 'rollouts';
const LEASE_DURATION_MS = 10_000;
const STEP_INTERVAL_MS = 1000;

/** The controller starts no work if the lease expires in less than this. */
const MIN_REMAINING_MS = 3000;

/**
 * Advances rollouts on the instance that holds the rollout lease.
 *
 * Every step is stored before it takes effect, so that the next lease holder continues where the
 * last one stopped. Each write is safe to repeat.
 */
export class RolloutController {
  private readonly stats = new VersionStatsTable();

  private readonly lease: Lease;

  private readonly loader: VersionLoader;

  private heldLease: TrackedLease | undefined;

  constructor(private readonly options: RolloutControllerOptions) {
    const { settings, incarnation, store, clock, directory, logger } = options;
    this.lease = new Lease({
      store,
      clock,
      name: LEASE_NAME,
      holder: `${settings.instance.id}.${incarnation}`,
      durationMs: LEASE_DURATION_MS,
    });
    this.loader = new VersionLoader({ directory, clock, logger });
  }

  /** Processes the rollouts until `signal` aborts, whenever this instance holds the lease. */
  async run(signal: AbortSignal): Promise<void> {
    const { replica, versionStats, clock, logger } = this.options;
    replica.onChange(() => versionStats.setRollouts(this.listRunning()));
    while (!signal.aborted) {
      try {
        if (this.listRunning().length > 0) await this.processRollouts();
        else await this.releaseLease();
      } catch (error) {
        logger.error('rollouts could not be processed', { error: String(error) });
      }
      await clock.sleep(STEP_INTERVAL_MS, signal);
    }
    await this.releaseLease();
  }

  private listRunning(): Rollout[] {
    return this.options.replica.getRollouts().filter((rollout) => !isRolloutEnded(rollout));
  }

  private async processRollouts(): Promise<void> {
    if (!(await this.ensureLease())) return;
    await this.collectStats();
    for (const { name } of this.listRunning()) {
      if ((this.heldLease?.getRemainingMs() ?? 0) < MIN_REMAINING_MS) return;
      const found = await this.options.rollouts.read(name);
      if (found.isErr()) continue;
      const { object, value } = found.value;
      await this.processRollout({ rollout: value, version: object.version });
    }
  }

  private async ensureLease(): Promise<boolean> {
    if (this.heldLease) {
      const renewed = await this.heldLease.renew();
      if (renewed.isErr()) this.heldLease = undefined;
    }
    if (!this.heldLease) {
      const acquired = await this.lease.acquire();
      if (acquired.isErr()) return false;
      this.heldLease = acquired.value;
      this.options.logger.info('rollout lease acquired', { fencing: this.heldLease.fencing });
    }
    return this.heldLease.getRemainingMs() >= MIN_REMAINING_MS;
  }

  private async releaseLease(): Promise<void> {
    await this.heldLease?.release();
    this.heldLease = undefined;
  }

  private async collectStats(): Promise<void> {
    const { addresses, peerClients, versionStats } = this.options;
    this.stats.importStats(versionStats.exportStats());
    const replies = await Promise.allSettled(
      addresses.listOthers().map(({ peersAddress }) => peerClients.getVersionStats(peersAddress)),
    );
    for (const reply of replies) {
      if (reply.status === 'fulfilled') this.stats.importStats(reply.value);
    }
  }

  private async processRollout(stored: StoredRollout): Promise<void> {
    const { rollout } = stored;
    const model = await this.options.rollouts.readModel(rollout.model);
    if (model.isErr()) return;
    const outcome = this.findOutcomeInModel(rollout, model.value.value);
    if (outcome) {
      await this.end(stored, outcome.phase, outcome.reason);
    } else if (rollout.phase === RolloutPhase.LOADING) {
      await this.load(stored);
    } else if (rollout.phase === RolloutPhase.RUNNING) {
      await this.decide(stored);
    }
  }

  /**
   * Derives the end of a rollout from its model. A previous lease holder may have written the model
   * and stopped before it wrote the rollout.
   */
  private findOutcomeInModel(
    rollout: Rollout,
    model: Model,
  ): { phase: RolloutPhase; reason: string } | undefined {
    const candidate = model.versions.find((each) => each.version === rollout.candidateVersion);
    if (!candidate || candidate.state === VersionState.WITHDRAWN) {
      return { phase: RolloutPhase.FAILED, reason: rollout.reason || 'the candidate is withdrawn' };
    }
    if (model.currentVersion === rollout.candidateVersion) {
      return { phase: RolloutPhase.COMPLETED, reason: 'the candidate is the current version' };
    }
    return undefined;
  }

  private async load(stored: StoredRollout): Promise<void> {
    const { rollout } = stored;
    if (!this.heldLease) return;
    const loaded = await this.loader.loadCandidate(rollout, this.heldLease);
    if (!loaded) return;
    await this.storeStep(stored, {
      phase: RolloutPhase.RUNNING,
      reason: 'the candidate is loaded',
    });
  }

  private async decide(stored: StoredRollout): Promise<void> {
    const { rollout } = stored;
    const decision = decideRollout(rollout, this.stats.sumStats());
    await this.decisionHandlers[decision.type](stored, decision);
  }

  private readonly decisionHandlers: Record<
    RolloutDecision['type'],
    (stored: StoredRollout, decision: RolloutDecision) => Promise<void>
  > = {
    wait: async (stored, decision) => {
      const hold = decision.type === 'wait' && decision.hold;
      if (hold === stored.rollout.hold) return;
      const reason = hold ? 'waiting for ratings of the requests so far' : 'ratings have arrived';
      await this.storeStep(stored, { hold, reason });
    },
    advance: async (stored) => {
      await this.storeStep(stored, {
        stepIndex: stored.rollout.stepIndex + 1,
        hold: false,
        reason: 'the candidate is not worse',
      });
    },
    complete: async (stored) => {
      const promoted = await this.options.rollouts.promote(stored.rollout);
      if (promoted.isOk()) {
        await this.end(stored, RolloutPhase.COMPLETED, 'the candidate is not worse');
      }
    },
    withdraw: async (stored, decision) => {
      const { rollouts } = this.options;
      const withdrawn = await rollouts.setCandidateState(stored.rollout, VersionState.WITHDRAWN);
      const reason = decision.type === 'withdraw' ? decision.reason : '';
      if (withdrawn.isOk()) await this.end(stored, RolloutPhase.FAILED, reason);
    },
  };

  private async end(stored: StoredRollout, phase: RolloutPhase, reason: string): Promise<void> {
    await this.storeStep(stored, { phase, reason });
    this.stats.removeVersion(stored.rollout.model, stored.rollout.candidateVersion);
  }

  private async storeStep(stored: StoredRollout, change: Partial<Rollout>): Promise<void> {
    const { rollout, version } = stored;
    const written: Result<unknown, Failure> = await this.options.rollouts.store(
      rollout.name,
      { ...rollout, ...change },
      version,
    );
    const { phase, reason, stepIndex } = { ...rollout, ...change };
    if (written.isOk()) {
      this.options.logger.info('rollout step stored', {
        rollout: rollout.name,
        phase,
        stepIndex,
        reason,
      });
    }
  }
}
