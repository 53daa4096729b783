package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The files of one data folder, addressed by name. Creation, renaming and deletion of files are durable once
 * {@link #sync} has returned, the content of a file once {@link DataFile#sync} has. Used by one thread at a time.
 */
interface DataFolder {
    /** Returns the path of the folder, for messages. */
    Path path();

    /** Returns the names of all files. */
    List<String> names() throws IOException;

    /** Opens a file for reading and writing, and creates it if it does not exist. */
    DataFile open(String name) throws IOException;

    /** Returns the content of an existing file. */
    byte[] read(String name) throws IOException;

    /** Renames a file and replaces an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Makes the creation, renaming and deletion of files durable. */
    void sync() throws IOException;

    /** Releases the folder. Safe to call more than once. */
    void close() throws IOException;

    /** One open file. Used by one thread at a time. */
    interface DataFile {
        /** Returns the size in bytes. */
        long size() throws IOException;

        /** Reads from the position on until the buffer is full; returns false if the file ends before that. */
        boolean read(ByteBuffer buffer, long position) throws IOException;

        /** Writes the whole buffer at the position. */
        void write(ByteBuffer buffer, long position) throws IOException;

        /** Shortens the file to the size. */
        void truncate(long size) throws IOException;

        /** Makes the content and the size of the file durable. */
        void sync() throws IOException;

        /** Closes the file. Safe to call more than once. */
        void close() throws IOException;
    }
}
