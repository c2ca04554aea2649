/** Error-budget burn of the service levels of a failure domain, computed from the request counts of its gateways. */
import type { BurnLine, BurnSeries, Configuration } from '@hingescale/core';
import { burnRate, sumWindows } from '@hingescale/core';
import type { LinkPool } from '@hingescale/link';
import { LINK_REQUESTS } from '@hingescale/link';
import { LatencyHistogram } from '@hingescale/runtime';

/** The burn report of one failure domain: the counts of its gateways and the burn rates computed from them. */
export type BurnReport = {
  readonly failureDomain: string;
  /** Instances of the gateways that answered in time. */
  readonly gateways: readonly string[];
  /** Instances of the gateways that did not answer. */
  readonly silent: readonly string[];
  /** The counts as the gateways sent them, one entry per gateway, workspace and model. */
  readonly series: readonly BurnSeries[];
  /** The merged result, one line per workspace and model. */
  readonly lines: readonly BurnLine[];
};

/** A gateway that is asked for its counts, with its link address. */
export type BurnSource = { readonly instance: string; readonly address: string };

const REQUEST_TIMEOUT_MS = 1_000;
const P95 = 0.95;
/** Share of good requests (0 to 1) that is required of a model without a service level. */
const DEFAULT_OBJECTIVE = 0.95;

/** Requests the counts of all gateways and merges those that arrive within the timeout. */
export async function collectBurnReport(
  failureDomain: string,
  sources: readonly BurnSource[],
  links: LinkPool,
  configuration: Configuration | undefined,
): Promise<BurnReport> {
  const answers = await Promise.allSettled(
    sources.map(({ address }) =>
      links.clientFor(address).request<BurnSeries[]>(LINK_REQUESTS.burn, {}, REQUEST_TIMEOUT_MS),
    ),
  );
  const answered = sources.filter((_source, index) => answers[index].status === 'fulfilled');
  const series = answers.flatMap(answer => (answer.status === 'fulfilled' ? answer.value : []));
  return {
    failureDomain,
    gateways: answered.map(source => source.instance),
    silent: sources.filter(source => !answered.includes(source)).map(source => source.instance),
    series,
    lines: mergeBurnSeries(series, configuration),
  };
}

/** Merges the counts of all gateways into one line per workspace and model. */
export function mergeBurnSeries(
  series: readonly BurnSeries[],
  configuration: Configuration | undefined,
): BurnLine[] {
  const groups = new Map<string, BurnSeries[]>();
  for (const entry of series) {
    const key = `${entry.workspace}\0${entry.model}`;
    groups.set(key, [...(groups.get(key) ?? []), entry]);
  }
  return [...groups.values()].map(entries => mergeEntries(entries, configuration));
}

function mergeEntries(
  entries: readonly BurnSeries[],
  configuration: Configuration | undefined,
): BurnLine {
  const [{ workspace, model }] = entries;
  const serviceLevel = [...(configuration?.serviceLevels.values() ?? [])].find(
    candidate => candidate.model === model,
  );
  const windows = sumWindows(entries.map(entry => entry.windows));
  const firstTokenLatencies = new LatencyHistogram();
  entries.forEach(entry => {
    firstTokenLatencies.add(LatencyHistogram.decode(entry.firstToken));
  });
  return {
    workspace,
    model,
    windows,
    burn: windows.map(count => burnRate(count, serviceLevel?.objective ?? DEFAULT_OBJECTIVE)),
    firstTokenP95Ms: firstTokenLatencies.quantile(P95),
  };
}
