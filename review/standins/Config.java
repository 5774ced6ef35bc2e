/** The operator's configuration of the cases. */
final class Config {
    /** Service of engines, whose events hold four tokens each. */
    static final String ENGINES = "engines";

    /** Service of plain application servers. */
    static final String APPLICATION = "application";

    private Config() {}

    static String streaming(String prefix, int timeoutMillis) {
        return """
               {"name":"r-%s","host":"app.example","prefix":"/%s/","kind":"streaming",\
               "timeout_ms":%d,"target_latency_ms":200,"priority":0,"service":"%s","attempts":1,\
               "keeps_history":false,"retention_s":60.0,"sticky_sessions":true,\
               "allow_resume":true,"gap_target_ms":400}"""
                .formatted(prefix, prefix, timeoutMillis, ENGINES);
    }

    static String plain(String prefix, String kind, int timeoutMillis) {
        return """
               {"name":"r-%s","host":"app.example","prefix":"/%s/","kind":"%s","timeout_ms":%d,\
               "target_latency_ms":400,"priority":2,"service":"%s","attempts":1}"""
                .formatted(prefix, prefix, kind, timeoutMillis, APPLICATION);
    }

    static String of(long version, String... routes) {
        return """
               {"version":%d,"routes":[%s],"services":[{"name":"%s","health_path":"/health",\
               "connection_limit":370,"protocol":"h1","tls":false,"engine":{"slots":64,\
               "cache_tokens":344846,"cache_token_bytes":18432,"link_mbps":370000.0,"stride":4,\
               "models":[{"name":"m"}]}},{"name":"%s","health_path":"/health",\
               "connection_limit":110,"protocol":"h1","tls":false}],\
               "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
               "header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
                .formatted(version, String.join(",", routes), ENGINES, APPLICATION);
    }
}
