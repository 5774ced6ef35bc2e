package org.oleandertrack.server.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against values that are lost or changed between the file and the settings object. */
final class SettingsLoaderTest {

    @TempDir private Path mFolder;

    @Test
    void valuesOfAnEntryFileAreReadUnchanged() {
        EntrySettings settings =
                SettingsLoader.entry()
                        .parse(
                                """
                                node = "entry-1"
                                zone = "zone-a"
                                [http]
                                address = "::1"
                                port = 0
                                maxBufferedBytes = 4294967296
                                [peer]
                                address = "10.1.2.3"
                                [platform]
                                tableUrl = "http://[::1]:9001/table"
                                objectUrl = "https://10.1.2.3"
                                hostsUrl = "http://10.1.2.3:9003"
                                [log]
                                level = "debug"
                                """,
                                "text");
        assertEquals("entry-1", settings.node());
        assertEquals("zone-a", settings.zone());
        assertEquals("::1", settings.http().address());
        assertEquals(0, settings.http().port());
        assertEquals(4_294_967_296L, settings.http().maxBufferedBytes());
        assertEquals("10.1.2.3", settings.peer().address());
        assertEquals("http://[::1]:9001/table", settings.platform().tableUrl());
        assertEquals(LogLevel.DEBUG, settings.log().level());
        assertEquals(64, settings.shards().count());
    }

    @Test
    void valuesOfASidecarFileAreReadUnchanged() {
        SidecarSettings settings =
                SettingsLoader.sidecar()
                        .parse(
                                """
                                node = "host-7"
                                zone = "zone-b"
                                [http]
                                address = "127.0.0.1"
                                [peer]
                                address = "127.0.0.1"
                                [target]
                                name = "register-3"
                                url = "http://127.0.0.1:9002"
                                kind = "service"
                                service = "register"
                                maxQueuedCalls = 0
                                checksFence = true
                                """,
                                "text");
        assertEquals(TargetKind.SERVICE, settings.target().kind());
        assertEquals(Optional.of("register"), settings.target().service());
        assertEquals(List.of(), settings.target().models());
        assertEquals(0, settings.target().maxQueuedCalls());
        assertEquals(true, settings.target().checksFence());
    }

    @Test
    void logLevelIsReadWithoutTheRestOfTheFile() throws IOException {
        assertEquals("warn", levelOf("[log]\nlevel = \"warn\"\n[nonsense]\na = 1\n"));
        assertEquals("info", levelOf("[log]\nlevel = \"loud\"\n"));
        assertEquals("info", levelOf("level = \"warn\"\n"));
        assertEquals("info", levelOf("not toml"));
        assertEquals("info", LogLevelReader.read(mFolder.resolve("absent")));
    }

    private String levelOf(String toml) throws IOException {
        return LogLevelReader.read(Files.writeString(mFolder.resolve("level.toml"), toml));
    }
}
