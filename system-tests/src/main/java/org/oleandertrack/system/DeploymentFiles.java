package org.oleandertrack.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Locates the jars, settings files and log files of a deployment. Immutable.
 *
 * @param root root of the repository, which contains the built jars
 * @param folder folder for settings and logs
 */
public record DeploymentFiles(Path root, Path folder) {

    Path serverJar() {
        return require(root.resolve("server/target/oleandertrack-all.jar"));
    }

    Path standinsJar() {
        return require(root.resolve("standins/target/standins-all.jar"));
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    Path write(String name, String text) {
        try {
            Files.createDirectories(folder);
            return Files.writeString(folder.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Path require(Path jar) {
        if (!Files.exists(jar)) {
            throw new IllegalStateException(jar + " is missing; build the project first");
        }
        return jar.toAbsolutePath();
    }
}
