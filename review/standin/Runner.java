import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A stand-in of a runner; what it answers is up to its script. It lists itself in the store. */
final class Runner implements AutoCloseable {
    interface Script {
        void run(Call call) throws Exception;
    }

    /** One request on a connection. The body is read by the script. */
    static final class Call {
        final String head;
        final Socket socket;
        final InputStream in;
        final long length;

        private Call(String head, Socket socket, InputStream in) {
            this.head = head;
            this.socket = socket;
            this.in = in;
            String field = header("Content-Length");
            length = field == null ? 0 : Long.parseLong(field);
        }

        String line() {
            return head.lines().findFirst().orElse("");
        }

        String header(String name) {
            return Http.field(head, name);
        }

        String id() {
            return header("Attempt-Id");
        }

        byte[] body() throws IOException {
            return in.readNBytes((int) length);
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.UTF_8));
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** The runner's own answer, with its seal. */
        void answer(int status, String body) throws IOException {
            send("HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + id() + "\r\nResponse-Seal: seal-" + id()
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final String id;
    final List<String> ran = new CopyOnWriteArrayList<>();
    private final Bed bed;
    private final String service;
    private final ServerSocket server;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final long born = System.currentTimeMillis();
    private volatile boolean closed;

    Runner(Bed bed, String id, String service, int receiveBuffer, Script script) throws IOException {
        this.bed = bed;
        this.id = id;
        this.service = service;
        this.script = script;
        server = new ServerSocket();
        if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName(bed.ip(0)), 0));
        Bed.daemon(this::accept);
        Bed.daemon(this::beat);
    }

    private void beat() {
        for (long seq = 1; !closed; seq++) {
            bed.store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + bed.ip(0) + ":"
                + server.getLocalPort() + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                + "\"cold_left_ms\":0,\"seq\":" + seq + ",\"born\":" + born + "}");
            Bed.sleep(1200);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Bed.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!socket.isClosed()) {
                String head = Http.head(in);
                if (head == null) break;
                Call call = new Call(head, socket, in);
                script.run(call);
            }
        } catch (Exception e) {
            if (!closed) bed.note("runner " + id + ": connection ended: " + e);
        }
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
            for (Socket socket : sockets) socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
