import { request as httpRequest } from 'node:http';

const IP = '127.0.0.1';

export const HOST = 'calls.example';
export const API_KEY = 'n2ctnfzs989anu6wsjnb';

/** Sends one request on a new channel; resolves with the status (0: none), headers and body. */
export function send({
  port,
  path,
  method = 'POST',
  id,
  headers = {},
  body = '',
  deadlineMs = 5000,
  agent = false,
  signal,
}) {
  return new Promise((done) => {
    const outgoing = httpRequest({
      host: IP,
      port,
      method,
      path,
      agent,
      signal,
      headers: {
        Host: HOST,
        'X-Attempt-Id': id,
        'X-Deadline-Ms': String(deadlineMs),
        'Api-Key': API_KEY,
        ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('deadline')), deadlineMs);
    const finish = (result) => {
      clearTimeout(timer);
      done(result);
    };
    outgoing.on('error', (error) =>
      finish({ status: 0, error: error.message, headers: {}, body: '' }),
    );
    outgoing.on('response', (answer) => {
      const chunks = [];
      const { statusCode: status, headers: answerHeaders } = answer;
      const end = (error) =>
        finish({
          status,
          error,
          headers: answerHeaders,
          body: Buffer.concat(chunks).toString('latin1'),
          isWhole: answer.complete,
        });
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', (error) => end(error.message));
      answer.on('end', () => end(undefined));
    });
    outgoing.end(body);
  });
}
