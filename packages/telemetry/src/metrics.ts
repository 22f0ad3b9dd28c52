/** Metrics of router and control instances, with bounded label values. */
import * as prom from 'prom-client'

const BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30, 60]
/** Maximum number of client accounts with their own label; the rest share {@link OTHER_LABEL}. */
const MAX_ACCOUNT_LABELS = 200
/** Label shared by all values beyond the limit. */
export const OTHER_LABEL = 'other'

/** Metrics of a router instance. */
export interface RouterMetrics {
  registry: prom.Registry
  firstToken: prom.Histogram<'account' | 'priority'>
  duration: prom.Histogram<'account' | 'priority'>
  betweenTokens: prom.Histogram<'priority'>
  queued: prom.Histogram<'priority'>
  requests: prom.Counter<'account' | 'outcome'>
  attempts: prom.Counter<'outcome'>
  promptTokens: prom.Counter<'cached'>
  linkBytes: prom.Counter<'direction' | 'class' | 'message'>
  imports: prom.Counter<'outcome'>
  toAccountLabel: (account: string) => string
}

/** Creates the metrics of a router instance in a new registry. */
export function createRouterMetrics (): RouterMetrics {
  const registry = new prom.Registry()
  prom.collectDefaultMetrics({ register: registry })
  const registers = [registry]
  return {
    registry,
    firstToken: new prom.Histogram({ name: 'kingcupdeck_first_token_seconds', help: 'From the request to the first token sent, per client account and priority', labelNames: ['account', 'priority'], buckets: BUCKETS_SECONDS, registers }),
    duration: new prom.Histogram({ name: 'kingcupdeck_request_seconds', help: 'From the request to its end, per client account and priority', labelNames: ['account', 'priority'], buckets: BUCKETS_SECONDS, registers }),
    betweenTokens: new prom.Histogram({ name: 'kingcupdeck_between_tokens_seconds', help: 'Between two chunks of an answer, per priority', labelNames: ['priority'], buckets: [0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.5, 1, 5], registers }),
    queued: new prom.Histogram({ name: 'kingcupdeck_queued_seconds', help: 'Wait in an owner\'s queue, per priority', labelNames: ['priority'], buckets: BUCKETS_SECONDS, registers }),
    requests: new prom.Counter({ name: 'kingcupdeck_requests_total', help: 'Requests by client account and outcome', labelNames: ['account', 'outcome'], registers }),
    attempts: new prom.Counter({ name: 'kingcupdeck_attempts_total', help: 'Attempts at endpoints by outcome', labelNames: ['outcome'], registers }),
    promptTokens: new prom.Counter({ name: 'kingcupdeck_prompt_tokens_total', help: 'Prompt tokens, found in an engine\'s cache or not', labelNames: ['cached'], registers }),
    linkBytes: new prom.Counter({ name: 'kingcupdeck_link_bytes_total', help: 'Bytes on links between instances, by direction, class and message', labelNames: ['direction', 'class', 'message'], registers }),
    imports: new prom.Counter({ name: 'kingcupdeck_kv_imports_total', help: 'KV cache imports ordered, by outcome', labelNames: ['outcome'], registers }),
    toAccountLabel: createBoundedLabels(MAX_ACCOUNT_LABELS)
  }
}

/**
 * Limits the number of distinct label values: after the first `max` values, new ones map to {@link OTHER_LABEL}.
 * @returns a function that converts a value to its label
 */
export function createBoundedLabels (max: number): (value: string) => string {
  const known = new Set<string>()
  return value => {
    if (known.has(value)) return value
    if (known.size >= max) return OTHER_LABEL
    known.add(value)
    return value
  }
}

/** Metrics of a control instance. */
export interface ControlMetrics {
  registry: prom.Registry
  linkBytes: prom.Counter<'direction'>
}

/** Creates the metrics of a control instance in a new registry. */
export function createControlMetrics (): ControlMetrics {
  const registry = new prom.Registry()
  prom.collectDefaultMetrics({ register: registry })
  return {
    registry,
    linkBytes: new prom.Counter({ name: 'kingcupdeck_link_bytes_total', help: 'Bytes on links between instances, by direction', labelNames: ['direction'], registers: [registry] })
  }
}
