package org.basilrill.scaffold;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free TCP ports on the loopback interface. Thread safe. */
public final class FreePorts {
    /** Below the ephemeral port range, so that no outgoing connection takes the port while a process restarts. */
    private static final int LOWEST = 12_000;

    private static final int HIGHEST = 32_000;

    /** Ports returned so far, which may not be bound yet when the next ones are drawn. */
    private static final Set<Integer> RETURNED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /** Returns ports that were just free; all stay bound until the last is found, so that they are different. */
    public static List<Integer> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (sockets.size() < count) {
                int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
                if (!RETURNED.add(port)) {
                    continue;
                }
                try {
                    sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                } catch (IOException inUse) {
                    // Tries another port.
                }
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
