import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ConfigIndex } from '@cactusstair/relay';

import { API_KEY, createConfig, createRoute, HOST } from './support/relayFixture.js';

describe('ConfigIndex', () => {
  const index = new ConfigIndex(
    createConfig(1, [
      createRoute({ name: 'short', pathPrefix: '/a/' }),
      createRoute({ name: 'long', pathPrefix: '/a/b/' }),
    ]),
  );

  it('selects the route with the longest prefix', () => {
    assert.equal(index.findRoute(HOST, '/a/b/c')?.name, 'long');
    assert.equal(index.findRoute(HOST, '/a/bc')?.name, 'short');
  });

  it('finds no route for paths outside all prefixes', () => {
    // `lastIndexOf` with a negative index found the first slash again: an endless loop that blocked
    // the process.
    for (const path of ['/', '/other', '/other/x', '', 'x', '/a', '//']) {
      assert.equal(index.findRoute(HOST, path), undefined);
    }
  });

  it('ignores the query, the case of the host and its port', () => {
    assert.equal(index.findRoute(HOST, '/a/b?x=/a/b/')?.name, 'short');
    assert.equal(index.findRoute(`${HOST.toUpperCase()}:8080`, '/a/x')?.name, 'short');
  });

  it('does not decode paths', () => {
    assert.equal(index.findRoute(HOST, '/a%2Fb/'), undefined);
  });

  it('finds the workspace of a known key only', () => {
    assert.equal(index.findWorkspace(API_KEY)?.name, 'workspace-1');
    assert.equal(index.findWorkspace(''), undefined);
  });
});
