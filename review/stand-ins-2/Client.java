import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** Sends requests as a caller, the operator or the platform does. Stateless and thread safe. */
final class Client {
    private Client() {}

    /** Sends one request on a new connection and returns the response. */
    static Http.Message call(
            String address, String method, String target, List<Http.Field> fields, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket socket = connect(address, timeoutMillis)) {
            return exchange(socket, address, method, target, fields, body);
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int separator = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, separator), Integer.parseInt(address.substring(separator + 1))),
                Math.min(1000, timeoutMillis));
        return socket;
    }

    /** Sends one request on an open connection and returns the response. */
    static Http.Message exchange(
            Socket socket, String host, String method, String target, List<Http.Field> fields, byte[] body)
            throws IOException {
        List<Http.Field> all = new java.util.ArrayList<>(fields);
        if (fields.stream().noneMatch(field -> field.name().equalsIgnoreCase("Host"))) {
            all.add(0, new Http.Field("Host", host));
        }
        socket.getOutputStream().write(Http.encode(method + " " + target + " HTTP/1.1", all, body));
        socket.getOutputStream().flush();
        return Http.readResponse(new java.io.BufferedInputStream(socket.getInputStream()));
    }
}
