package org.basilrill.scaffold;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports on loopback. Stateless. */
public final class FreePorts {
    /** Below the range from which the system takes ports of outgoing connections, so that a restart finds its port. */
    private static final int LOWEST = 12_000;

    private static final int HIGHEST = 32_000;

    private FreePorts() {}

    /** Returns ports that were free a moment ago; all are held until the last is found, so none is returned twice. */
    public static List<Integer> find(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (sockets.size() < count) {
                int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
                try {
                    sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                } catch (IOException inUse) {
                    // Another port is tried.
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
