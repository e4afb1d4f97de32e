import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes MessagePack: maps, lists, text, whole and decimal numbers, booleans, null. */
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
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      write(new DataOutputStream(bytes), value);
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(DataOutputStream out, Object value) throws IOException {
    if (value == null) {
      out.writeByte(0xc0);
    } else if (value instanceof Boolean b) {
      out.writeByte(b ? 0xc3 : 0xc2);
    } else if (value instanceof Double d) {
      out.writeByte(0xcb);
      out.writeDouble(d);
    } else if (value instanceof Number n) {
      writeWhole(out, n.longValue());
    } else if (value instanceof String s) {
      byte[] text = s.getBytes(StandardCharsets.UTF_8);
      writeSize(out, text.length, 0xa0, 31, 0xda);
      out.write(text);
    } else if (value instanceof List<?> list) {
      writeSize(out, list.size(), 0x90, 15, 0xdc);
      for (Object element : list) {
        write(out, element);
      }
    } else if (value instanceof Map<?, ?> map) {
      writeSize(out, map.size(), 0x80, 15, 0xde);
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        write(out, entry.getKey());
        write(out, entry.getValue());
      }
    } else {
      throw new IllegalArgumentException("no form for " + value.getClass());
    }
  }

  private static void writeWhole(DataOutputStream out, long number) throws IOException {
    if (number >= 0 && number < 0x80) {
      out.writeByte((int) number);
    } else if (number >= 0 && number <= 0xffff) {
      out.writeByte(0xcd);
      out.writeShort((int) number);
    } else {
      out.writeByte(0xd3);
      out.writeLong(number);
    }
  }

  /** Writes a size in one byte, in two after a byte, or in four after the next higher byte. */
  private static void writeSize(DataOutputStream out, int size, int small, int most, int wide)
      throws IOException {
    if (size <= most) {
      out.writeByte(small | size);
    } else if (size <= 0xffff) {
      out.writeByte(wide);
      out.writeShort(size);
    } else {
      out.writeByte(wide + 1);
      out.writeInt(size);
    }
  }

  /** Returns the decoded value, or null if there is none. */
  static Object decode(byte[] bytes) {
    return bytes.length == 0 ? null : read(ByteBuffer.wrap(bytes));
  }

  private static Object read(ByteBuffer in) {
    int b = in.get() & 0xff;
    if (b < 0x80) {
      return (long) b;
    }
    if (b >= 0xe0) {
      return (long) (byte) b;
    }
    if (b < 0x90) {
      return readMap(in, b & 0x0f);
    }
    if (b < 0xa0) {
      return readList(in, b & 0x0f);
    }
    if (b < 0xc0) {
      return readText(in, b & 0x1f);
    }
    switch (b) {
      case 0xc0:
        return null;
      case 0xc2:
        return false;
      case 0xc3:
        return true;
      case 0xca:
        return (double) in.getFloat();
      case 0xcb:
        return in.getDouble();
      case 0xcc:
        return (long) (in.get() & 0xff);
      case 0xcd:
        return (long) (in.getShort() & 0xffff);
      case 0xce:
        return in.getInt() & 0xffffffffL;
      case 0xcf:
      case 0xd3:
        return in.getLong();
      case 0xd0:
        return (long) in.get();
      case 0xd1:
        return (long) in.getShort();
      case 0xd2:
        return (long) in.getInt();
      case 0xd9:
        return readText(in, in.get() & 0xff);
      case 0xda:
        return readText(in, in.getShort() & 0xffff);
      case 0xdb:
        return readText(in, in.getInt());
      case 0xdc:
        return readList(in, in.getShort() & 0xffff);
      case 0xdd:
        return readList(in, in.getInt());
      case 0xde:
        return readMap(in, in.getShort() & 0xffff);
      case 0xdf:
        return readMap(in, in.getInt());
      default:
        throw new IllegalArgumentException("unexpected byte " + b);
    }
  }

  private static String readText(ByteBuffer in, int length) {
    byte[] text = new byte[length];
    in.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static List<Object> readList(ByteBuffer in, int length) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      list.add(read(in));
    }
    return list;
  }

  private static Map<String, Object> readMap(ByteBuffer in, int length) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < length; i++) {
      Object key = read(in);
      map.put(String.valueOf(key), read(in));
    }
    return map;
  }
}
