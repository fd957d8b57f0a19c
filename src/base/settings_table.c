#include "base/settings_table.h"

#define BODY_DEFAULT_BYTES	"8388608"
#define BODIES_DEFAULT_BYTES	"16777216"
#define BODY_MIN_BYTES		1024
#define BODIES_MAX_BYTES	(1024LL * 1024 * 1024)
#define DRAIN_NOTICE_MAX_MS	600000
#define CONFIG_MAX_AGE_MIN_MS	2000 /* two waits of a watch fit into it */
#define CONFIG_MAX_AGE_MAX_MS	60000
#define GRACE_MAX_S		3600
#define RETRY_WINDOW_MAX_S	60
#define RETRY_SLACK_MAX		100000
#define COLD_RATIO_MAX		100
#define HOLD_MIN_MS		1500
#define HOLD_MAX_MS		600000
#define UNUSED_MEMORY_MIN_MS	3000
#define UNUSED_MEMORY_MAX_MS	600000
#define COLD_SLACK_MAX		100000
#define CPU_SHARE_MAX		1024
#define MEMORY_MAX_MB		(16 * 1024 * 1024)
#define LINK_MAX_MBPS		1000000
#define PROMPT_CACHE_MAX_MS	86400000
#define DRAIN_NOTICE_DEFAULT_MS "2000"
#define LOG_LEVELS		"error|warn|info|debug"
#define POLICIES		"heatherturn|round-robin|least-outstanding|two-choices"

#define AT(member) offsetof(struct settings, member)

const struct setting_spec setting_specs[] = {
    {"id", SETTING_NAME, FOR_ALL, AT(id), true, .argument = "NAME",
	.help = "name of this process, unique in the fleet"},
    {"failure-domain", SETTING_NAME, FOR_ALL, AT(failure_domain), true,
	.argument = "NAME", .help = "failure domain of this host"},
    {"listen", SETTING_LISTEN, FOR_ALL, AT(listen), true,
	.argument = "HOST:PORT",
	.help = "address for links from other processes"},
    {"advertise", SETTING_ADDRESS, FOR_ALL, AT(advertise),
	.argument = "HOST:PORT",
	.help = "address of --listen as others reach it; default: as --listen"},
    {"http", SETTING_LISTEN, FOR_ALL, AT(http), .argument = "HOST:PORT",
	.help = "address for /metrics, /livez and /readyz; default: none"},
    {"platform", SETTING_URL, FOR_ENTRY | FOR_SIDECAR, AT(platform),
	.argument = "URL",
	.help = "URL of the platform's service; empty for none"},
    {"peers", SETTING_ADDRESSES, FOR_ALL, AT(peers),
	.argument = "HOST:PORT,...",
	.help =
	    "link addresses of a few other processes, for discovery at start"},
    {"log-level", SETTING_LOG_LEVEL, FOR_ALL, AT(log_level),
	.default_value = "info", .choices = LOG_LEVELS, .argument = "LEVEL",
	.help = "least severe level that is logged"},
    {"cluster-key-file", SETTING_SECRET, FOR_ALL, AT(cluster_key_file),
	.argument = "FILE",
	.help = "shared secret that authenticates links between processes"},
    {"tls-certificate-file", SETTING_FILE, FOR_ALL, AT(tls_certificate_file),
	.argument = "FILE", .help = "certificate chain, PEM"},
    {"tls-key-file", SETTING_FILE, FOR_ALL, AT(tls_key_file),
	.argument = "FILE", .help = "private key of the certificate, PEM"},
    {"fatal-invariants", SETTING_FLAG, FOR_ALL, AT(fatal_invariants),
	.default_value = "false",
	.help = "abort when an invariant is violated"},
    {"drain-notice-ms", SETTING_NUMBER, FOR_ALL, AT(drain_notice_ms),
	.default_value = DRAIN_NOTICE_DEFAULT_MS, .max = DRAIN_NOTICE_MAX_MS,
	.argument = "MS",
	.help = "time from not ready to refusing new work at a planned stop"},
    {"grace-s", SETTING_FRACTION, FOR_ALL, AT(grace_s), .default_value = "10",
	.max = GRACE_MAX_S, .argument = "S",
	.help = "time from SIGTERM until the process is killed"},
    {"callers", SETTING_LISTEN, FOR_CALLERS, AT(callers), true,
	.argument = "HOST:PORT", .help = "address for callers' HTTP requests"},
    {"operators", SETTING_LISTEN, FOR_ENTRY, AT(operators),
	.argument = "HOST:PORT",
	.help = "address for operators' calls; default: none"},
    {"operator-token-file", SETTING_SECRET, FOR_ENTRY, AT(operator_token_file),
	.argument = "FILE",
	.help = "operators' bearer tokens, one [NAME] TOKEN per line"},
    {"body-max-bytes", SETTING_NUMBER, FOR_CALLERS, AT(body_max_bytes),
	.default_value = BODY_DEFAULT_BYTES, .min = BODY_MIN_BYTES,
	.max = BODIES_MAX_BYTES, .argument = "BYTES",
	.help = "size limit of one request's body; longer ones get 413"},
    {"bodies-max-bytes", SETTING_NUMBER, FOR_CALLERS, AT(bodies_max_bytes),
	.default_value = BODIES_DEFAULT_BYTES, .min = BODY_MIN_BYTES,
	.max = BODIES_MAX_BYTES, .argument = "BYTES",
	.help =
	    "size limit of all open requests' bodies together; beyond it 503"},
    {"policy", SETTING_CHOICE, FOR_ENTRY, AT(policy),
	.default_value = "heatherturn", .choices = POLICIES, .argument = "NAME",
	.help = "how an upstream is chosen"},
    {"objects", SETTING_ADDRESS, FOR_GATEWAY, AT(objects), true,
	.argument = "HOST:PORT",
	.help = "address of the platform's object store"},
    {"config-max-age-ms", SETTING_NUMBER, FOR_GATEWAY, AT(config_max_age_ms),
	.default_value = "2000", .min = CONFIG_MAX_AGE_MIN_MS,
	.max = CONFIG_MAX_AGE_MAX_MS, .argument = "MS",
	.help = "longest time since the configuration was known to be the "
		"newest in which an unknown route or key is refused for good"},
    {"retry-ratio", SETTING_FRACTION, FOR_GATEWAY, AT(retry_ratio),
	.default_value = "0.1", .max = 1, .argument = "SHARE",
	.help = "retries as a share of requests"},
    {"retry-window-s", SETTING_FRACTION, FOR_GATEWAY, AT(retry_window_s),
	.default_value = "10", .min = 1, .max = RETRY_WINDOW_MAX_S,
	.argument = "S", .help = "time window for the retry ratio"},
    {"retry-slack", SETTING_FRACTION, FOR_GATEWAY, AT(retry_slack),
	.default_value = "10", .max = RETRY_SLACK_MAX, .argument = "N",
	.help = "retries of all gateways allowed beyond the ratio"},
    {"cold-ratio", SETTING_FRACTION, FOR_GATEWAY, AT(cold_ratio),
	.default_value = "1", .max = COLD_RATIO_MAX, .argument = "X",
	.help = "share of a cold upstream's stated rate that is used"},
    {"cold-slack", SETTING_FRACTION, FOR_GATEWAY, AT(cold_slack),
	.default_value = "0", .max = COLD_SLACK_MAX, .argument = "N",
	.help = "requests per second to a cold upstream beyond that share"},
    {"hold-ms", SETTING_NUMBER, FOR_GATEWAY, AT(hold_ms),
	.default_value = "4000", .min = HOLD_MIN_MS, .max = HOLD_MAX_MS,
	.argument = "MS",
	.help = "longest time that engines keep memory reserved for an ended "
		"request"},
    {"unused-memory-ms", SETTING_NUMBER, FOR_GATEWAY, AT(unused_memory_ms),
	.default_value = "9000", .min = UNUSED_MEMORY_MIN_MS,
	.max = UNUSED_MEMORY_MAX_MS, .argument = "MS",
	.help =
	    "longest time that engines keep memory reserved that no request "
	    "uses"},
    {"cpu-share", SETTING_FRACTION, FOR_GATEWAY, AT(cpu_share),
	.default_value = "0", .max = CPU_SHARE_MAX, .argument = "CORES",
	.help = "CPU time that this host has, 0.09 for 9% of a core; 0 if "
		"unknown"},
    {"memory-mb", SETTING_NUMBER, FOR_GATEWAY, AT(memory_mb),
	.default_value = "0", .max = MEMORY_MAX_MB, .argument = "MB",
	.help = "memory of this host; 0 for unknown"},
    {"link-mbps", SETTING_FRACTION, FOR_GATEWAY, AT(link_mbps),
	.default_value = "0", .max = LINK_MAX_MBPS, .argument = "MBPS",
	.help = "link of this host, in Mbit/s; 0 for unknown"},
    {"prompt-cache-ms", SETTING_NUMBER, FOR_GATEWAY, AT(prompt_cache_ms),
	.default_value = "0", .max = PROMPT_CACHE_MAX_MS, .argument = "MS",
	.help = "how long engines keep a prompt after its last use; 0 if they "
		"keep none"},
    {"upstream", SETTING_NAME, FOR_SIDECAR, AT(upstream), true,
	.argument = "ID", .help = "id of the upstream behind this sidecar"},
    {"upstream-url", SETTING_URL, FOR_SIDECAR, AT(upstream_url), true,
	.argument = "URL", .help = "URL of that upstream"},
    {"dialect", SETTING_CHOICE, FOR_SIDECAR, AT(dialect),
	.default_value = "engine", .choices = "engine|plain",
	.argument = "NAME", .help = "protocol that the upstream speaks"},
};

const size_t setting_spec_count = G_N_ELEMENTS(setting_specs);

G_STATIC_ASSERT(G_N_ELEMENTS(setting_specs) <= SETTINGS_MAX);

/* Returns the name of a setting's environment variable; free with g_free(). */
char *
setting_variable(const struct setting_spec *spec)
{
	g_autofree char *upper = g_ascii_strup(spec->name, -1);

	return g_strconcat("HEATHERTURN_", g_strdelimit(upper, "-", '_'), NULL);
}
