/**
 * Loaded before a program under test: redirects its outgoing connections by the
 * table in LINKS, JSON of `host:port` to `host:port`. So each process can have
 * a link of its own to a shared address.
 */
import { Socket } from "node:net";
import process from "node:process";

const links = JSON.parse(process.env.LINKS ?? "{}");
const connect = Socket.prototype.connect;

Socket.prototype.connect = function redirect(...parameters) {
  const [first] = parameters;
  const options = Array.isArray(first) ? first[0] : first;
  const link = links[`${options?.host}:${options?.port}`];
  if (link !== undefined) {
    options.port = Number(link.split(":")[1]);
  }
  return connect.apply(this, parameters);
};
