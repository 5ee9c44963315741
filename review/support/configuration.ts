/** A small configuration: streams to groups of engines, and a plain service. */
import { OPEN_TIME } from "./targets.ts";

export const HOST = "news.example";
export const KEY = "key-1";
export const STREAM_PATH = "/briefs/1";
export const SAFE_PATH = "/feed/1";
export const UNSAFE_PATH = "/publish/1";

/** Runners to which one request may be sent. */
export const MAXIMUM_ATTEMPTS = 2;

/** Members of one group. */
export const GROUP_SIZE = 2;

/** Milliseconds to load the model from the weight store, and from the host. */
export const LOAD_TIMES = { cold: 400, staged: 100 };

/** The version of `config/main` that all cases use. */
export const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: "briefs",
      pathPrefix: "/briefs/",
      kind: "stream",
      timeoutMs: 8_000,
      sloMs: 400,
      service: "summaries",
      sticky: true,
      resumable: true,
      gapTargetMs: 300,
    },
    {
      name: "feed",
      pathPrefix: "/feed/",
      kind: "safe",
      timeoutMs: 1_500,
      sloMs: 141,
      service: "delivery",
    },
    {
      name: "publish",
      pathPrefix: "/publish/",
      kind: "unsafe",
      timeoutMs: 1_500,
      sloMs: 141,
      service: "delivery",
    },
  ].map((route) => ({
    ...route,
    host: HOST,
    priority: 1,
    maxAttempts: MAXIMUM_ATTEMPTS,
    public: false,
  })),
  services: [
    {
      name: "summaries",
      healthPath: "/healthz",
      maxConns: 268,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 12,
        kvCapacity: 1_312_941,
        stride: 5,
        models: [
          {
            name: "small",
            size: GROUP_SIZE,
            share: 1,
            pace: 1,
            loadS: LOAD_TIMES.cold / 1_000,
            warmS: LOAD_TIMES.staged / 1_000,
          },
        ],
        step_ms: 4,
        per_seq_ms: 0.13,
        context_per_k: 0.0136,
        read_per_s: 45_900,
        pairs_per_m: 0.433,
        chunk: 2_048,
        report_lag_ms: 0,
        loadsPerS: 5,
        loads_at_once: 7,
        keeps: 1,
        far_x: 3,
        formMs: OPEN_TIME,
      },
    },
    {
      name: "delivery",
      healthPath: "/healthz",
      maxConns: 96,
      protocol: "h1",
      tls: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: "desk", apiKeys: [KEY], priority: 1 }],
};

/** The headers of one attempt. */
export function headersOf(
  attempt: string,
  { isStream }: { readonly isStream: boolean },
): Readonly<{ [name: string]: string }> {
  return {
    host: HOST,
    authorization: `Bearer ${KEY}`,
    "x-attempt-id": attempt,
    "x-deadline-ms": isStream ? "8000" : "1500",
    ...(isStream
      ? {
          "x-model": "small",
          "x-token-counts": "100,100",
          "x-prompt-prefix": `5c1e07a2:40,${attempt.replace(/\D/g, "")}0:60`,
        }
      : {}),
  };
}
