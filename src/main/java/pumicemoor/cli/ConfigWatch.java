package pumicemoor.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Looks for changes of the files of a configuration, for a process that was started with SIGHUP ignored and so can't
 * be told to read them again. A file that is being written may be seen half; its next state is a change again.
 */
final class ConfigWatch {

    static final long INTERVAL = 250; // milliseconds

    private final List<Path> files;
    private byte[] last;

    /** Takes the present contents of these files as known. */
    ConfigWatch(List<Path> files) {
        this.files = files;
        this.last = contents();
    }

    /** Whether the contents are others than when this was asked last. */
    boolean changed() {
        byte[] before = last;
        last = contents();
        return !Arrays.equals(before, last);
    }

    private byte[] contents() {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Path file : files) {
            try {
                all.writeBytes(Files.readAllBytes(file));
            } catch (IOException e) {
                // a file that can't be read has no contents
            }
            all.write(0);
        }
        return all.toByteArray();
    }
}
