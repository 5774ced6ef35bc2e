package org.oleandertrack.server.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an invalid settings file that is accepted, that ends with the wrong exit code, or
 * whose error message lacks the file, the key or the accepted values.
 */
final class SettingsErrorsTest {

    private static final String ENTRY =
            """
            node = "entry-1"
            zone = "zone-a"
            [http]
            address = "127.0.0.1"
            port = 0
            [peer]
            address = "127.0.0.1"
            port = 0
            [platform]
            tableUrl = "http://127.0.0.1:9001"
            objectUrl = "http://127.0.0.1:9001"
            hostsUrl = "http://127.0.0.1:9001"
            """;

    private static final String SIDECAR =
            """
            node = "target-host-1"
            zone = "zone-a"
            [http]
            address = "127.0.0.1"
            [peer]
            address = "127.0.0.1"
            [target]
            name = "model-1"
            url = "http://127.0.0.1:9002"
            kind = "model"
            models = ["m1"]
            """;

    @TempDir private Path mFolder;

    @Test
    void entryFaultsAreReportedAsApproved() throws IOException {
        Map<String, UnaryOperator<String>> cases = new LinkedHashMap<>();
        cases.put("unknown key", s -> s + "[log]\nlevle = \"info\"\n");
        cases.put("unknown key at the top", s -> "nodes = 3\n" + s);
        cases.put("unknown section", s -> s + "[cache]\nsize = 1\n");
        cases.put("section of Dropwizard", s -> s + "[server]\ntype = \"simple\"\n");
        cases.put("key of the other daemon", s -> s + "[target]\nname = \"t\"\n");
        cases.put("seconds for milliseconds", s -> s + "timeoutSeconds = 2\n");
        cases.put("unit in the value", s -> s + "timeoutMillis = \"2s\"\n");
        cases.put("string for a number", s -> s.replace("port = 0", "port = \"8080\""));
        cases.put("fraction for a number", s -> s + "timeoutMillis = 1.5\n");
        cases.put("boolean for a number", s -> s + "timeoutMillis = true\n");
        cases.put("number for a string", s -> s.replace("\"zone-a\"", "7"));
        cases.put("list for a string", s -> s.replace("\"zone-a\"", "[\"a\"]"));
        cases.put("value for a section", s -> "log = 3\n" + s);
        cases.put("number beyond the integer range", s -> s + "timeoutMillis = 99999999999\n");
        cases.put("port too large", s -> s.replace("port = 0", "port = 65536"));
        cases.put("port negative", s -> s.replace("port = 0", "port = -1"));
        cases.put("zero timeout", s -> s + "timeoutMillis = 0\n");
        cases.put("unknown level", s -> s + "[log]\nlevel = \"loud\"\n");
        cases.put("missing node", s -> s.replace("node = \"entry-1\"\n", ""));
        cases.put("missing zone", s -> s.replace("zone = \"zone-a\"\n", ""));
        cases.put("missing address", s -> s.replaceFirst("address = \"127.0.0.1\"\n", ""));
        cases.put("missing section", s -> s.substring(0, s.indexOf("[platform]")));
        cases.put("empty file", s -> "");
        cases.put("empty zone", s -> s.replace("\"zone-a\"", "\"\""));
        cases.put("space in the node's name", s -> s.replace("entry-1", "entry 1"));
        cases.put("host name for an address", s -> s.replaceFirst("127.0.0.1", "localhost"));
        cases.put("short IPv4 form", s -> s.replaceFirst("127.0.0.1", "127.1"));
        cases.put("host name in a URL", s -> s.replaceFirst("//127.0.0.1", "//table.example"));
        cases.put("URL without scheme", s -> s.replaceFirst("http://", ""));
        cases.put("lease below two renewals", s -> s + "[shards]\nleaseMillis = 3999\n");
        cases.put("buffer below a body", s -> s.replace("port = 0\n[peer]", BUFFER + "[peer]"));
        cases.put("duplicate key", s -> "zone = \"zone-b\"\n" + s);
        cases.put("not TOML", s -> s + "{\n");
        verify("entry", ENTRY, cases);
    }

    private static final String BUFFER = "maxBufferedBytes = 65536\n";

    @Test
    void sidecarFaultsAreReportedAsApproved() throws IOException {
        Map<String, UnaryOperator<String>> cases = new LinkedHashMap<>();
        cases.put("missing target name", s -> s.replace("name = \"model-1\"\n", ""));
        cases.put("missing target URL", s -> s.replace("url = \"http://127.0.0.1:9002\"\n", ""));
        cases.put("unknown kind", s -> s.replace("\"model\"", "\"database\""));
        cases.put("number for kind", s -> s.replace("\"model\"", "0"));
        cases.put("model without models", s -> s.replace("models = [\"m1\"]\n", ""));
        cases.put("service with models", s -> s.replace("\"model\"", "\"service\""));
        cases.put("models as one string", s -> s.replace("[\"m1\"]", "\"m1\""));
        cases.put("number among the models", s -> s.replace("[\"m1\"]", "[\"m1\", 2]"));
        cases.put("model twice", s -> s.replace("[\"m1\"]", "[\"m1\", \"m1\"]"));
        cases.put("comma in a model", s -> s.replace("[\"m1\"]", "[\"m1,m2\"]"));
        cases.put("more long calls than calls", s -> s + "maxConcurrentCalls = 3\n");
        cases.put("string for a boolean", s -> s + "checksFence = \"true\"\n");
        cases.put("number for a boolean", s -> s + "checksFence = 1\n");
        cases.put("call port on a sidecar", s -> s.replaceFirst("\\[peer]", "port = 0\n[peer]"));
        verify("sidecar", SIDECAR, cases);
    }

    @Test
    void filesThatCannotBeReadAreReported() throws IOException {
        assertEquals(
                "oleandertrack: 9001 SETTINGS_UNREADABLE: absent.toml: no such file\n",
                check("entry", mFolder.resolve("absent.toml"), ExitCode.SETTINGS_UNREADABLE));
        Path folder = Files.createDirectory(mFolder.resolve("folder.toml"));
        assertEquals(
                "oleandertrack: 9001 SETTINGS_UNREADABLE: folder.toml: cannot be read\n",
                check("entry", folder, ExitCode.SETTINGS_UNREADABLE));
    }

    @Test
    void validFilesAreAccepted() throws IOException {
        assertEquals("", check("entry", write(ENTRY), ExitCode.SUCCESS));
        assertEquals("", check("sidecar", write(SIDECAR), ExitCode.SUCCESS));
    }

    private void verify(String role, String valid, Map<String, UnaryOperator<String>> cases)
            throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, UnaryOperator<String>> entry : cases.entrySet()) {
            Path file = write(entry.getValue().apply(valid));
            CommandLineRun run = CommandLineRun.of("check", "--role", role, file.toString());
            assertEquals(1, run.err().lines().count(), entry.getKey() + ": " + run);
            text.append(entry.getKey()).append('\n');
            text.append("  exit ").append(run.exit().number()).append(": ");
            text.append(withoutFolder(run.err()));
        }
        Approvals.verify(text.toString());
    }

    private String check(String role, Path file, ExitCode exit) {
        CommandLineRun run = CommandLineRun.of("check", "--role", role, file.toString());
        assertEquals(exit, run.exit(), run.err());
        return withoutFolder(run.err());
    }

    private Path write(String toml) throws IOException {
        return Files.writeString(mFolder.resolve("settings.toml"), toml);
    }

    private String withoutFolder(String line) {
        return line.replace(mFolder + "/", "");
    }
}
