/** The thin path: one request served end to end by separate processes. */
import { expect } from 'chai';

import { Deployment } from '../deployment/deployment.js';

describe('thin path', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({ gatewaysPerDomain: 2 });
  });

  after(() => deployment.stop());

  it('serves a plain and a streamed request at both gateways', async () => {
    const { caller, profile } = deployment;
    for (const gateway of deployment.gateways) {
      for (const stream of [false, true]) {
        const options = { stream, tokens: 6 };
        const { address } = gateway;
        const answer = await caller.chat(
          address,
          deployment.key(),
          profile.model,
          profile.prompt,
          options,
        );
        expect(answer.status, answer.body).to.equal(200);
        expect(answer.whole).to.equal(true);
        expect(answer.text.trim().split(' ')).to.have.length(6);
        expect(answer.headers['hingescale-request-id']).to.be.a('string');
      }
    }
  });

  it('reaches the plain service', async () => {
    const call = {
      address: deployment.gateways[0].address,
      key: deployment.key(),
      path: `/services/${deployment.profile.service}/terminals/7?full=1`,
      method: 'GET',
    } as const;
    const answer = await deployment.caller.send(call);
    expect(answer.status, answer.body).to.equal(200);
    expect(JSON.parse(answer.body)).to.include({ path: '/terminals/7' });
  });
});
