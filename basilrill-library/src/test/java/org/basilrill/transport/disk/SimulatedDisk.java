package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A data folder in memory with a page cache. A loss of power keeps what was synced; of later changes each sector and
 * each name is kept or lost. A failed sync discards the dirty sectors from the list of those to write, as Linux does:
 * they stay readable, and no later sync writes them unless they are written again. Not thread safe, except for {@link
 * #setFull}.
 */
public final class SimulatedDisk {
    private static final int SECTOR_BYTES = 16;

    private final Random random;
    private Map<String, Content> cachedNames = new TreeMap<>();
    private Map<String, Content> durableNames = new TreeMap<>();
    private volatile boolean full;
    private Optional<Integer> changesUntilFailure = Optional.empty();
    private Runnable changeListener = () -> {};

    public SimulatedDisk(long seed) {
        this.random = new Random(seed);
    }

    /** Opens a store in this folder. */
    public FileDurableStore open(RandomGenerator incarnations) {
        return FileDurableStore.open(new Folder(), incarnations);
    }

    /** Makes every change fail from now on, or no longer. */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    /** Makes one change fail after the given number of changes, without, with a part of or with its whole effect. */
    public void failAfter(int changes) {
        changesUntilFailure = Optional.of(changes);
    }

    /** Ends all failures: changes succeed from now on. */
    public void repair() {
        full = false;
        changesUntilFailure = Optional.empty();
    }

    /** Calls the listener before each change, so that a test can account for the time that it takes. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Ends the use of all open files; the content is what the disk kept. */
    public void losePower() {
        changesUntilFailure = Optional.empty();
        Set<String> names = new HashSet<>(cachedNames.keySet());
        names.addAll(durableNames.keySet());
        Map<String, Content> kept = new TreeMap<>();
        for (String name : names) {
            Map<String, Content> source = random.nextBoolean() ? cachedNames : durableNames;
            Optional.ofNullable(source.get(name)).ifPresent(content -> kept.put(name, content));
        }
        new HashSet<>(kept.values()).forEach(content -> content.losePower(random));
        cachedNames = kept;
        durableNames = new TreeMap<>(kept);
    }

    /** Runs a change, which may fail without effect, with a part of it or with the whole effect. */
    private void change(Effect whole, Effect part) throws IOException {
        changeListener.run();
        boolean fails = full || changesUntilFailure.filter(left -> left == 0).isPresent();
        changesUntilFailure = changesUntilFailure.filter(left -> left > 0).map(left -> left - 1);
        if (!fails) {
            whole.run();
            return;
        }
        int outcome = random.nextInt(3);
        if (outcome == 1) {
            part.run();
        } else if (outcome == 2) {
            whole.run();
        }
        throw new IOException("No space left on device");
    }

    /** An effect on the simulated files. */
    @FunctionalInterface
    private interface Effect {
        void run();
    }

    /** The content of one file, as cached and as on the disk. */
    private static final class Content {
        private byte[] cached = new byte[0];
        private byte[] durable = new byte[0];
        private final BitSet dirtySectors = new BitSet();

        void write(byte[] bytes, int position) {
            cached = Arrays.copyOf(cached, Math.max(cached.length, position + bytes.length));
            System.arraycopy(bytes, 0, cached, position, bytes.length);
            markDirty(position, position + bytes.length);
        }

        void truncate(int size) {
            int before = cached.length;
            cached = Arrays.copyOf(cached, Math.min(before, size));
            markDirty(Math.max(0, cached.length - 1), cached.length);
        }

        void sync() {
            byte[] synced = Arrays.copyOf(durable, cached.length);
            dirtySectors.stream().forEach(sector -> copySector(sector, synced));
            durable = synced;
            dirtySectors.clear();
        }

        void losePower(Random random) {
            int length = random.nextBoolean() ? cached.length : durable.length;
            byte[] kept = Arrays.copyOf(durable, length);
            dirtySectors.stream().filter(sector -> random.nextBoolean()).forEach(sector -> copySector(sector, kept));
            cached = kept;
            durable = kept.clone();
            dirtySectors.clear();
        }

        private void markDirty(int from, int to) {
            if (to > from) {
                dirtySectors.set(from / SECTOR_BYTES, (to - 1) / SECTOR_BYTES + 1);
            }
        }

        private void copySector(int sector, byte[] target) {
            int from = sector * SECTOR_BYTES;
            int to = Math.min(from + SECTOR_BYTES, Math.min(cached.length, target.length));
            if (to > from) {
                System.arraycopy(cached, from, target, from, to - from);
            }
        }
    }

    /** The folder as the store uses it. */
    private final class Folder implements DataFolder {
        @Override
        public Path path() {
            return Path.of("simulated");
        }

        @Override
        public List<String> names() {
            return List.copyOf(cachedNames.keySet());
        }

        @Override
        public DataFile open(String name) throws IOException {
            if (!cachedNames.containsKey(name)) {
                change(() -> cachedNames.put(name, new Content()), () -> {});
            }
            return new OpenFile(cachedNames.get(name), name);
        }

        @Override
        public byte[] read(String name) {
            return cachedNames.get(name).cached.clone();
        }

        @Override
        public void rename(String from, String to) throws IOException {
            change(() -> cachedNames.put(to, cachedNames.remove(from)), () -> {});
        }

        @Override
        public void delete(String name) throws IOException {
            if (cachedNames.containsKey(name)) {
                change(() -> cachedNames.remove(name), () -> {});
            }
        }

        @Override
        public void sync() throws IOException {
            change(() -> durableNames = new TreeMap<>(cachedNames), () -> {});
        }

        @Override
        public void close() {}
    }

    /** One open file. */
    private final class OpenFile implements DataFolder.DataFile {
        private final Content content;
        private final String name;

        OpenFile(Content content, String name) {
            this.content = content;
            this.name = name;
        }

        @Override
        public long size() {
            return content.cached.length;
        }

        @Override
        public boolean read(ByteBuffer buffer, long position) {
            if (position + buffer.remaining() > content.cached.length) {
                return false;
            }
            buffer.put(content.cached, (int) position, buffer.remaining());
            return true;
        }

        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            byte[] half = Arrays.copyOf(bytes, bytes.length / 2);
            change(() -> content.write(bytes, (int) position), () -> content.write(half, (int) position));
        }

        @Override
        public void truncate(long size) throws IOException {
            change(() -> content.truncate((int) size), () -> {});
        }

        @Override
        public void sync() throws IOException {
            change(this::syncContent, content.dirtySectors::clear);
        }

        @Override
        public void close() {}

        /** A new file becomes durable with its own sync. */
        private void syncContent() {
            content.sync();
            if (cachedNames.get(name) == content) {
                durableNames.putIfAbsent(name, content);
            }
        }
    }
}
