import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps keyed by text, lists, text, numbers, booleans and null. */
final class Pack {
  private Pack() {}

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static byte[] encode(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    write(out, value);
    return out.toByteArray();
  }

  private static void bytes(ByteArrayOutputStream out, int head, long value, int count) {
    out.write(head);
    for (int i = count - 1; i >= 0; i--) {
      out.write((int) (value >> (8 * i)));
    }
  }

  private static void write(ByteArrayOutputStream out, Object value) {
    if (value == null) {
      out.write(0xc0);
    } else if (value instanceof Boolean b) {
      out.write(b ? 0xc3 : 0xc2);
    } else if (value instanceof Integer || value instanceof Long) {
      long number = ((Number) value).longValue();
      if (number >= 0 && number < 128) {
        out.write((int) number);
      } else {
        bytes(out, 0xd3, number, 8);
      }
    } else if (value instanceof Number n) {
      bytes(out, 0xcb, Double.doubleToLongBits(n.doubleValue()), 8);
    } else if (value instanceof String s) {
      byte[] text = s.getBytes(StandardCharsets.UTF_8);
      bytes(out, 0xdb, text.length, 4);
      out.writeBytes(text);
    } else if (value instanceof List<?> list) {
      bytes(out, 0xdd, list.size(), 4);
      list.forEach(element -> write(out, element));
    } else if (value instanceof Map<?, ?> map) {
      bytes(out, 0xdf, map.size(), 4);
      map.forEach(
          (key, element) -> {
            write(out, key);
            write(out, element);
          });
    } else {
      throw new IllegalArgumentException("no form for " + value.getClass());
    }
  }

  /** Decodes a body; an empty one is an empty map. */
  static Object decode(byte[] body) {
    return body.length == 0 ? map() : read(ByteBuffer.wrap(body));
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> decodeMap(byte[] body) {
    return decode(body) instanceof Map<?, ?> map ? (Map<String, Object>) map : map();
  }

  private static Object read(ByteBuffer in) {
    int head = in.get() & 0xff;
    if (head < 0x80) {
      return (long) head;
    } else if (head < 0x90) {
      return readMap(in, head & 0x0f);
    } else if (head < 0xa0) {
      return readList(in, head & 0x0f);
    } else if (head < 0xc0) {
      return readText(in, head & 0x1f);
    } else if (head >= 0xe0) {
      return (long) (byte) head;
    }
    return switch (head) {
      case 0xc0 -> null;
      case 0xc2 -> false;
      case 0xc3 -> true;
      case 0xca -> (double) in.getFloat();
      case 0xcb -> in.getDouble();
      case 0xcc -> (long) (in.get() & 0xff);
      case 0xcd -> (long) (in.getShort() & 0xffff);
      case 0xce -> in.getInt() & 0xffffffffL;
      case 0xcf, 0xd3 -> in.getLong();
      case 0xd0 -> (long) in.get();
      case 0xd1 -> (long) in.getShort();
      case 0xd2 -> (long) in.getInt();
      case 0xd9 -> readText(in, in.get() & 0xff);
      case 0xda -> readText(in, in.getShort() & 0xffff);
      case 0xdb -> readText(in, in.getInt());
      case 0xdc -> readList(in, in.getShort() & 0xffff);
      case 0xdd -> readList(in, in.getInt());
      case 0xde -> readMap(in, in.getShort() & 0xffff);
      case 0xdf -> readMap(in, in.getInt());
      default -> throw new IllegalArgumentException("unexpected head " + head);
    };
  }

  private static String readText(ByteBuffer in, int length) {
    byte[] text = new byte[length];
    in.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static List<Object> readList(ByteBuffer in, int count) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(read(in));
    }
    return list;
  }

  private static Map<String, Object> readMap(ByteBuffer in, int count) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      map.put(String.valueOf(read(in)), read(in));
    }
    return map;
  }

  static long number(Map<String, Object> map, String key) {
    return map.get(key) instanceof Number n ? n.longValue() : 0;
  }

  static double amount(Map<String, Object> map, String key) {
    return map.get(key) instanceof Number n ? n.doubleValue() : 0;
  }

  static String text(Map<String, Object> map, String key) {
    return map.get(key) instanceof String s ? s : "";
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> maps(Map<String, Object> map, String key) {
    return map.get(key) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
  }

  /** Length of a value in JSON form, roughly: the form in which the limits are measured. */
  static int jsonLength(Object value) {
    if (value instanceof Map<?, ?> map) {
      int length = 2;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        length += jsonLength(entry.getKey()) + jsonLength(entry.getValue()) + 2;
      }
      return length;
    } else if (value instanceof List<?> list) {
      int length = 2;
      for (Object element : list) {
        length += jsonLength(element) + 1;
      }
      return length;
    } else if (value instanceof String s) {
      return s.getBytes(StandardCharsets.UTF_8).length + 2;
    }
    return String.valueOf(value).length();
  }
}
