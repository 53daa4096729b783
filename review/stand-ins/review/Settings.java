package review;

/** Messages of a small deployment. Stateless and thread safe. */
final class Settings {
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Settings() {}

    /** Returns a configuration with one engine service and a streaming route. */
    static String streams(String model, String path, boolean resumable) {
        return "{\"version\":3,\"routes\":[{\"name\":\"r-notas\",\"hostname\":\"mesa.example\",\"path_prefix\":"
                + "\"/" + path + "/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1000,"
                + "\"priority\":1,\"service\":\"asistente\",\"max_attempts\":2,\"public\":false,\"sticky\":true,"
                + "\"resumable\":" + resumable + ",\"target_gap_ms\":250}],\"services\":[{\"name\":\"asistente\","
                + "\"health_path\":\"/healthz\",\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"engine\":"
                + "{\"slots\":64,\"kv_capacity\":244642,\"kv_bytes\":163840.0,\"link_mbps\":1100000.0,\"moves\":false,"
                + "\"backups\":false,\"stride\":4,\"models\":[{\"name\":\"" + model + "\",\"weights_mb\":42700.0,"
                + "\"load_s\":2.6,\"adapters\":0,\"adapter_mb\":66.0}],\"weights_mb\":200000.0,\"adapter_slots\":5,"
                + "\"loads_per_s\":1.1}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"taller\","
                + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,"
                + "\"rate_per_s\":1000000,\"burst\":1000000}]}";
    }

    /** Returns a request of a client; extra holds further header lines. */
    static String request(String path, String id, String model, int deadlineMillis, String extra, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: mesa.example\r\nRequest-Id: " + id + "\r\nModel: " + model
                + "\r\nToken-Usage: 460,200\r\nPrompt-Prefix: 5c1e07a2:200," + id.substring(8) + ":260\r\n"
                + "Deadline-Ms: " + deadlineMillis + "\r\nCredential: " + KEY + "\r\n" + extra + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }
}
