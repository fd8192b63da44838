package pumicemoor.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Detects changes in the content of configuration files, for a process that was started with SIGHUP ignored and so
 * cannot be signalled to reload them. A file may be read while it is only partly written; its final content is then
 * one more change.
 */
final class ConfigWatch {

    static final long INTERVAL_MILLIS = 250;

    private final List<Path> files;
    private byte[] lastContents;

    /** Watches these files for changes from their present contents. */
    ConfigWatch(List<Path> files) {
        this.files = files;
        this.lastContents = contents();
    }

    /** Returns whether the contents have changed since the previous call, or since construction. */
    boolean changed() {
        byte[] previousContents = lastContents;
        lastContents = contents();
        return !Arrays.equals(previousContents, lastContents);
    }

    private byte[] contents() {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Path file : files) {
            try {
                all.writeBytes(Files.readAllBytes(file));
            } catch (IOException e) {
                // a file that can't be read counts as empty
            }
            all.write(0); // separates the files
        }
        return all.toByteArray();
    }
}
