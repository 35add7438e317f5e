import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  decodeConfig,
  decodeEvacuation,
  decodeRollout,
  decodeUpstream,
  parsePlatformSettings,
  platformDialect,
} from '@cactusstair/platform';

describe('platform decoders', () => {
  describe('decodeUpstream', () => {
    const entry = {
      service: 'app',
      address: '10.0.0.9:8080',
      zone: 'zone-1',
      version: 'v1',
      slots: 6,
      state: 'ready',
      warmup_left_ms: 0,
      born: 1_700_000_000_000,
    };

    it('decodes a complete entry', () => {
      const record = decodeUpstream('i-1', entry);
      assert.equal(record?.id, 'i-1');
      assert.equal(record?.port, 8080);
      assert.equal(record?.isDraining, false);
      assert.equal(record?.startedAtMs, 1_700_000_000_000);
    });

    it('rejects entries that are malformed or in an unknown state', () => {
      const others = [
        undefined,
        null,
        'text',
        7,
        [],
        {},
        { ...entry, service: 5 },
        { ...entry, address: 'somewhere' },
        { ...entry, address: 8080 },
        { ...entry, address: '10.0.0.9:99999' },
        { ...entry, address: '10.0.0.9:0' },
        { ...entry, address: '10.0.0.999:8080' },
        { ...entry, address: '10.0.0:8080' },
        { ...entry, state: 'unheard-of' },
        { ...entry, state: undefined },
      ];
      for (const other of others) assert.equal(decodeUpstream('i-1', other), undefined);
    });

    it('rejects ids that cannot be sent in a header', () => {
      for (const id of ['', 'i 1', 'i-1\r\nx: y', 'i-\u4e00']) {
        assert.equal(decodeUpstream(id, entry), undefined);
      }
    });

    it('reads numbers that are too large as absent', () => {
      const record = decodeUpstream('i-1', JSON.parse(JSON.stringify(entry).replace('6', '6e999')));
      assert.equal(record?.slots, 1);
    });
  });

  describe('decodeUpstream of an entry with odd numbers', () => {
    const entry = { service: 'app', address: '10.0.0.9:8080', state: 'ready' };
    const decode = (fields: object) => decodeUpstream('i-1', { ...entry, ...fields });

    it('takes an implausible warm-up time as absent', () => {
      assert.equal(decode({ warmup_left_ms: 2500 })?.warmupLeftMs, 2500);
      assert.equal(decode({ warmup_left_ms: 0 })?.warmupLeftMs, 0);
      [undefined, null, -1, 1e12, 'soon', true].forEach((value) => {
        assert.equal(decode({ warmup_left_ms: value })?.warmupLeftMs, undefined);
      });
    });

    it('keeps an upstream without slots apart from one that does not state them', () => {
      assert.equal(decode({ slots: 0 })?.slots, 0);
      assert.equal(decode({ slots: -3 })?.slots, 0);
      assert.equal(decode({})?.slots, 1);
    });
  });

  describe('decodeRollout', () => {
    const spec = { service: 'app', target: 'v2', duration_s: 12 };

    it('reads the progress only if it belongs to the same target', () => {
      const status = { state: 'running', target: 'v2', step: 2, started_ms: 9 };
      assert.equal(decodeRollout(spec, status)?.state, 'running');
      assert.equal(decodeRollout(spec, status)?.step, 2);
      const earlier = decodeRollout(spec, { ...status, target: 'v1', state: 'completed' });
      assert.equal(earlier?.state, undefined);
      assert.equal(earlier?.step, 0);
    });

    it('rejects an object without a target', () => {
      assert.equal(decodeRollout({ service: 'app' }, null), undefined);
      assert.equal(decodeRollout('text', null), undefined);
    });
  });

  describe('decodeEvacuation', () => {
    it('takes the zone from the name of the object', () => {
      assert.deepEqual(decodeEvacuation('zone-2'), { zone: 'zone-2' });
    });
  });

  describe('decodeConfig', () => {
    const config = {
      version: 7,
      routes: [
        { host: 'A.example', path_prefix: '/a/', kind: 'safe', service: 'app' },
        { host: 'a.example', path_prefix: '/b/', kind: 'unheard-of', service: 'app' },
        { path_prefix: '/no-host/' },
      ],
      services: [{ name: 'app' }],
      tenants: [{ name: 'workspace', api_keys: ['key'], priority: 0 }],
    };

    it('treats an unknown kind as non-idempotent', () => {
      const decoded = decodeConfig(config);
      assert.deepEqual(
        decoded?.routes.map(({ kind }) => kind),
        ['idempotent', 'non_idempotent'],
      );
      assert.equal(decoded?.routes[0]?.host, 'a.example');
    });

    it('keeps an empty list of workspaces distinct from an absent one', () => {
      assert.equal(decodeConfig(config)?.workspaces?.length, 1);
      assert.deepEqual(decodeConfig({ ...config, tenants: [] })?.workspaces, []);
      assert.equal(decodeConfig({ ...config, tenants: undefined })?.workspaces, undefined);
    });

    it('reads a warm-up only where the service has a rate for it', () => {
      const decode = (fields: object) =>
        decodeConfig({ ...config, services: [{ name: 'app', ...fields }] })?.services[0];
      const plain = decode({});
      const warmup = { warmupMs: 12_000, warmupRequestsPerSecond: 3 };
      assert.deepEqual(decode({ warmup_s: 12, warmup_per_s: 3 }), { ...plain, ...warmup });
      assert.deepEqual(decode({ warmup_s: 12 }), plain);
      [0, -2, 'many', null].forEach((rate) => {
        assert.deepEqual(decode({ warmup_s: 12, warmup_per_s: rate }), plain);
      });
      assert.equal(decode({ warmup_s: -5, warmup_per_s: 3 })?.warmupMs, 0);
      assert.equal(decode({ warmup_s: 1e9, warmup_per_s: 3 })?.warmupMs, 3_600_000);
    });

    it('reads how many tokens an event holds, and takes no senseless number for one', () => {
      const decode = (stride: unknown) =>
        decodeConfig({ ...config, services: [{ name: 'app', engine: { slots: 4, stride } }] })
          ?.services[0]?.engine?.eventTokens;
      assert.equal(decode(9), 9);
      for (const other of [undefined, null, '9', 0, -3]) assert.equal(decode(other), undefined);
    });

    it('rejects a configuration without a numeric version', () => {
      assert.equal(decodeConfig({ ...config, version: '7' }), undefined);
    });
  });

  describe('parsePlatformSettings', () => {
    const settings = {
      node_name: 'instance-1',
      zone: 'zone-1',
      ip: '10.0.0.1',
      listen_addrs: { front: '10.0.0.1:1', ready: '10.0.0.1:2', control: '10.0.0.1:3' },
      port_range: [7000, 7010],
      seed_nodes: ['10.0.0.2:3', 'nonsense'],
      bounds: { revoke_ms: 5000, revoke_strict: true, grace_s: 8 },
      platform: { address: '10.0.0.9:9' },
      unknown_field: 1,
    };

    it('reads addresses and bounds and ignores unknown fields', () => {
      const parsed = parsePlatformSettings(JSON.stringify(settings))._unsafeUnwrap();
      assert.deepEqual(parsed.callers, { host: '10.0.0.1', port: 1 });
      assert.deepEqual(parsed.seedIps, ['10.0.0.2']);
      assert.equal(parsed.bounds.revokeMs, 5000);
      assert.equal(parsed.bounds.stopGraceMs, 8000);
    });

    it('reads the bound on evacuations only where the settings have one', () => {
      const parse = (bounds: object) =>
        parsePlatformSettings(JSON.stringify({ ...settings, bounds }))._unsafeUnwrap().bounds;
      assert.ok(!('evacuateMs' in parse({})));
      assert.equal(parse({ evacuate_ms: 5000 }).evacuateMs, 5000);
    });

    it('reads the limits of the process and leaves out those that are not above 0', () => {
      const parse = (limits: unknown) =>
        parsePlatformSettings(JSON.stringify({ ...settings, limits }))._unsafeUnwrap().limits;
      assert.deepEqual(parse({ memory_mb: 250, max_fds: 4100 }), {
        memoryBytes: 250_000_000,
        maxDescriptors: 4100,
      });
      assert.deepEqual(parse({ memory_mb: 0, max_fds: -1 }), {});
      assert.deepEqual(parse({ memory_mb: '250' }), {});
      assert.deepEqual(parse(undefined), {});
    });

    it('names the missing field or the syntax error', () => {
      const without = { ...settings, platform: {} };
      const missing = parsePlatformSettings(JSON.stringify(without));
      assert.match(missing._unsafeUnwrapErr(), /^platform\.address/);
      assert.match(parsePlatformSettings('{')._unsafeUnwrapErr(), /not JSON/);
      assert.match(parsePlatformSettings('[]')._unsafeUnwrapErr(), /not a JSON object/);
    });
  });

  describe('platformDialect', () => {
    const raw = [
      'Host',
      'a.example',
      'X-Attempt-Id',
      'id-1',
      'Connection',
      'close, X-Hop',
      'X-Hop',
      'hop',
      'X-Tenant',
      'forged',
      'X-Prompt-Prefix',
      'aa:5,bb:7,broken',
      'X-Token-Counts',
      '12,80',
      'X-Custom',
      'kept',
    ];
    const headers = Object.fromEntries(
      raw.flatMap((text, index) => (index % 2 === 0 ? [[text.toLowerCase(), raw[index + 1]]] : [])),
    ) as Record<string, string>;

    it('forwards the headers of the caller except hop-by-hop and system headers', () => {
      const request = platformDialect.decodeRequest('POST', '/x', raw, headers);
      assert.deepEqual(request.forwardedHeaders, [
        'Host',
        'a.example',
        'X-Attempt-Id',
        'id-1',
        'X-Prompt-Prefix',
        'aa:5,bb:7,broken',
        'X-Token-Counts',
        '12,80',
        'X-Custom',
        'kept',
      ]);
      assert.equal(request.promptTokens, 12);
      assert.deepEqual(request.promptParts[1], { id: 'bb', tokens: 7 });
    });

    it('takes a request as not run only when the platform states it', () => {
      const isNotRun = (status: number, all: Record<string, string>) =>
        platformDialect.decodeAnswer(status, all).isNotRun;
      assert.equal(isNotRun(503, { 'x-not-executed': '1' }), true);
      assert.equal(isNotRun(421, {}), true);
      assert.equal(isNotRun(503, {}), false);
      assert.equal(isNotRun(429, {}), false);
    });

    it('reads what the head of an answer says about its upstream', () => {
      const silent = { isLeaving: false, requestsPerSecond: undefined, pauseMs: undefined };
      const decode = (status: number, all: Record<string, string>) =>
        platformDialect.decodeNotice(status, all);
      assert.deepEqual(decode(200, {}), silent);
      assert.deepEqual(decode(200, { 'server-leaving': '1' }), { ...silent, isLeaving: true });
      assert.deepEqual(decode(503, { 'server-limit': '3.5' }), {
        ...silent,
        requestsPerSecond: 3.5,
      });
      assert.deepEqual(decode(200, { 'server-limit': 'many' }), silent);
      assert.deepEqual(decode(503, { 'retry-after': '1.5' }), { ...silent, pauseMs: 1500 });
      assert.deepEqual(decode(429, { 'retry-after': '1.5' }), silent);
    });
  });
});
