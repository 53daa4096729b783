package org.basilrill.scaffold;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.basilrill.scaffold.target.FakeTargetProgram;

/** Entry point of the test scaffolding programs. */
public final class Main {
    private Main() {}

    /** Runs the program that the first argument names. */
    public static void main(String[] arguments) throws IOException, ParseException {
        String program = arguments.length == 0 ? "" : arguments[0];
        String[] rest = arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
        switch (program) {
            case "target" -> FakeTargetProgram.run(rest);
            case "free-ports" -> printFreePorts(Integer.parseInt(rest[0]));
            default -> {
                System.err.println("usage: basilrill-scaffold target OPTIONS | free-ports COUNT");
                System.exit(2);
            }
        }
    }

    /** Prints ports that were free a moment ago; all are held until the last is found, so none is printed twice. */
    private static void printFreePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                System.out.println(socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
