import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** One HTTP/1.1 message: start line, headers with lower-case names, and a body. */
final class Http {
    String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String method() { return start.split(" ")[0]; }

    String target() { return start.split(" ")[1]; }

    String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }

    /** Reads a message head; null at the end of the input. */
    static Http head(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        if (line.isEmpty()) { line = line(in); if (line == null) return null; }
        Http h = new Http();
        h.start = line;
        while (true) {
            String l = line(in);
            if (l == null) throw new EOFException("head broke off");
            if (l.isEmpty()) return h;
            int c = l.indexOf(':');
            h.headers.put(l.substring(0, c).trim().toLowerCase(Locale.ROOT), l.substring(c + 1).trim());
        }
    }

    /** Reads a whole request. */
    static Http request(InputStream in) throws IOException {
        Http h = head(in);
        if (h == null) return null;
        String n = h.header("content-length");
        if (n != null) h.body = in.readNBytes(Integer.parseInt(n));
        return h;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return b.size() == 0 ? null : b.toString(StandardCharsets.ISO_8859_1);
            if (c == '\n') {
                String l = b.toString(StandardCharsets.ISO_8859_1);
                return l.endsWith("\r") ? l.substring(0, l.length() - 1) : l;
            }
            b.write(c);
        }
    }

    static Map<String, String> query(String target) {
        Map<String, String> q = new HashMap<>();
        int at = target.indexOf('?');
        if (at < 0) return q;
        for (String part : target.substring(at + 1).split("&")) {
            int e = part.indexOf('=');
            if (e < 0) continue;
            q.put(URLDecoder.decode(part.substring(0, e), StandardCharsets.UTF_8),
                URLDecoder.decode(part.substring(e + 1), StandardCharsets.UTF_8));
        }
        return q;
    }

    static byte[] bytes(String s) { return s.getBytes(StandardCharsets.UTF_8); }
}
