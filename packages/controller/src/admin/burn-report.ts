/** Burn of service levels over all gateways of the failure domain, from their counts. */
import type { BurnLine, BurnSeries, Configuration } from '@hingescale/core';
import { burnRate, sumWindows } from '@hingescale/core';
import type { LinkPool } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import { LatencyHistogram } from '@hingescale/runtime';

/** A burn report of one failure domain. */
export type BurnReport = {
  readonly failureDomain: string;
  /** Gateways that answered, and those that did not. */
  readonly gateways: readonly string[];
  readonly silent: readonly string[];
  readonly series: readonly BurnSeries[];
  readonly lines: readonly BurnLine[];
};

/** A gateway to ask. */
export type BurnSource = { readonly instance: string; readonly address: string };

const TIMEOUT_MS = 1_000;
const P95 = 0.95;
const DEFAULT_OBJECTIVE = 0.95;

/** Asks all gateways and merges what they counted. */
export async function collectBurn(
  failureDomain: string,
  sources: readonly BurnSource[],
  links: LinkPool,
  configuration: Configuration | undefined,
): Promise<BurnReport> {
  const answers = await Promise.allSettled(
    sources.map(({ address }) =>
      links.to(address).request<BurnSeries[]>(LINK_REQUESTS.burn, {}, TIMEOUT_MS),
    ),
  );
  const heard = sources.filter((_source, index) => answers[index].status === 'fulfilled');
  const series = answers.flatMap(answer => (answer.status === 'fulfilled' ? answer.value : []));
  return {
    failureDomain,
    gateways: heard.map(source => source.instance),
    silent: sources.filter(source => !heard.includes(source)).map(source => source.instance),
    series,
    lines: mergeBurn(series, configuration),
  };
}

/** One line per workspace and model. */
export function mergeBurn(
  series: readonly BurnSeries[],
  configuration: Configuration | undefined,
): BurnLine[] {
  const groups = new Map<string, BurnSeries[]>();
  for (const entry of series) {
    const key = `${entry.workspace}\0${entry.model}`;
    groups.set(key, [...(groups.get(key) ?? []), entry]);
  }
  return [...groups.values()].map(entries => lineOf(entries, configuration));
}

function lineOf(
  entries: readonly BurnSeries[],
  configuration: Configuration | undefined,
): BurnLine {
  const [{ workspace, model }] = entries;
  const level = [...(configuration?.serviceLevels.values() ?? [])].find(
    candidate => candidate.model === model,
  );
  const windows = sumWindows(entries.map(entry => entry.windows));
  const merged = new LatencyHistogram();
  entries.forEach(entry => {
    merged.add(LatencyHistogram.decode(entry.firstToken));
  });
  return {
    workspace,
    model,
    windows,
    burn: windows.map(count => burnRate(count, level?.objective ?? DEFAULT_OBJECTIVE)),
    firstTokenP95Ms: merged.quantile(P95),
  };
}
