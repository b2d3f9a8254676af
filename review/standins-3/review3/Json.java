package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers (Long or Double) and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skip(); text.charAt(at) != '}'; skip()) {
                if (text.charAt(at) == ',') {
                    at++;
                    continue;
                }
                String key = string();
                skip();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (skip(); text.charAt(at) != ']'; skip()) {
                if (text.charAt(at) == ',') at++;
                else list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private String string() {
        skip();
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(++at);
            int known = "nrtbf".indexOf(c);
            if (c == 'u') {
                out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                at += 4;
            } else {
                out.append(known >= 0 ? "\n\r\t\b\f".charAt(known) : c);
            }
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder out = new StringBuilder("{");
            map.forEach((k, v) -> out.append(out.length() > 1 ? "," : "").append(write(k)).append(':').append(write(v)));
            return out.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder out = new StringBuilder("[");
            list.forEach(v -> out.append(out.length() > 1 ? "," : "").append(write(v)));
            return out.append(']').toString();
        }
        if (!(value instanceof String text)) return String.valueOf(value);
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static long number(Map<String, Object> map, String name) {
        return map.get(name) instanceof Number n ? n.longValue() : 0;
    }
}
