import java.util.*;

/** A small JSON reader; objects become maps, arrays lists, numbers doubles or longs. */
final class Json {
    private final String s;
    private int i;

    private Json(String s) { this.s = s; }

    static Object parse(String text) { Json j = new Json(text); return j.value(); }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) { return (Map<String, Object>) parse(text); }

    private void space() { while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++; }

    private Object value() {
        space();
        char c = s.charAt(i);
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            i++; space();
            if (s.charAt(i) == '}') { i++; return m; }
            while (true) {
                space(); String k = string(); space(); i++;
                m.put(k, value()); space();
                if (s.charAt(i++) == '}') return m;
            }
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            i++; space();
            if (s.charAt(i) == ']') { i++; return l; }
            while (true) {
                l.add(value()); space();
                if (s.charAt(i++) == ']') return l;
            }
        }
        if (c == '"') return string();
        if (s.startsWith("true", i)) { i += 4; return true; }
        if (s.startsWith("false", i)) { i += 5; return false; }
        if (s.startsWith("null", i)) { i += 4; return null; }
        int from = i;
        while (i < s.length() && "+-.eE0123456789".indexOf(s.charAt(i)) >= 0) i++;
        String n = s.substring(from, i);
        if (n.matches("-?\\d+")) return Long.parseLong(n);
        return Double.parseDouble(n);
    }

    private String string() {
        StringBuilder b = new StringBuilder();
        i++;
        while (true) {
            char c = s.charAt(i++);
            if (c == '"') return b.toString();
            if (c != '\\') { b.append(c); continue; }
            char e = s.charAt(i++);
            switch (e) {
                case 'n': b.append('\n'); break;
                case 't': b.append('\t'); break;
                case 'r': b.append('\r'); break;
                case 'b': b.append('\b'); break;
                case 'f': b.append('\f'); break;
                case 'u': b.append((char) Integer.parseInt(s.substring(i, i + 4), 16)); i += 4; break;
                default: b.append(e);
            }
        }
    }

    static String quote(String t) {
        StringBuilder b = new StringBuilder("\"");
        for (char c : t.toCharArray()) {
            if (c == '"' || c == '\\') b.append('\\').append(c);
            else if (c < ' ') b.append(String.format("\\u%04x", (int) c));
            else b.append(c);
        }
        return b.append('"').toString();
    }
}
