package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readMap(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) read(text);
    }

    static long number(Map<String, Object> map, String key, long absent) {
        return map.get(key) instanceof Number number ? number.longValue() : absent;
    }

    static String text(Map<String, Object> map, String key) {
        return map.get(key) instanceof String string ? string : "";
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char first = text.charAt(at);
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        for (space(); text.charAt(at) != '}'; space()) {
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
            String key = string();
            space();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        for (space(); text.charAt(at) != ']'; space()) {
            if (text.charAt(at) == ',') at++;
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char next = text.charAt(at);
            if (next != '\\') {
                string.append(next);
                continue;
            }
            char escaped = text.charAt(++at);
            switch (escaped) {
                case 'n' -> string.append('\n');
                case 't' -> string.append('\t');
                case 'r' -> string.append('\r');
                case 'b' -> string.append('\b');
                case 'f' -> string.append('\f');
                case 'u' -> {
                    string.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> string.append(escaped);
            }
        }
        at++;
        return string.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) out.append('{');
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            String separator = "[";
            if (list.isEmpty()) out.append('[');
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char next : string.toCharArray()) {
                if (next == '"' || next == '\\') out.append('\\').append(next);
                else if (next < ' ') out.append(String.format("\\u%04x", (int) next));
                else out.append(next);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }
}
