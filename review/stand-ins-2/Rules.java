import java.util.List;
import java.util.stream.Collectors;

/** Writes configurations of a small deployment with one host, one tenant and plain services. Stateless. */
final class Rules {
    static final String HOST = "desk.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Rules() {}

    /** A route whose prefix is its name between slashes. */
    record Route(String name, String type, String service, int timeoutMillis, int attempts, String more) {
        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"hostname\":\"%s\",\"path_prefix\":\"/%s/\",\"type\":\"%s\",\"timeout_ms\":%d,"
                            + "\"target_latency_ms\":%d,\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d,"
                            + "\"public\":false%s}",
                    name, HOST, name, type, timeoutMillis, timeoutMillis / 5, service, attempts, more);
        }
    }

    static String configuration(int version, List<Route> routes, List<String> services) {
        return configuration(version, routes, services, 0, 0);
    }

    static String configuration(int version, List<Route> routes, List<String> services, long rate, long burst) {
        return String.format(
                "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"%s\"],\"priority\":1,\"unit\":\"tokens\","
                        + "\"plain_tokens\":200,\"rate_per_s\":%d,\"burst\":%d}]}",
                version,
                routes.stream().map(Route::json).collect(Collectors.joining(",")),
                services.stream()
                        .map(name -> "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":130,"
                                + "\"protocol\":\"h1\",\"tls\":false}")
                        .collect(Collectors.joining(",")),
                KEY,
                rate,
                burst);
    }
}
